package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A version that is gone counts for as long as callers may take up its streams, and a record
// that began lately says nothing of the time before.
func TestVersionRecordRemembersVersionsThatAreGone(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	check := func(step string, r VersionRecord, at time.Time, wantComplete bool, want ...string) {
		t.Helper()
		versions, complete := r.Lately(at)
		slices.Sort(versions)
		if !slices.Equal(versions, want) || complete != wantComplete {
			t.Errorf("%s: %q, complete %t; want %q, %t", step, versions, complete, want, wantComplete)
		}
	}
	r, changed := VersionRecord{}.Updated(now, []string{"v1"})
	if !changed {
		t.Error("the first version is no change")
	}
	check("first start", r, now, true, "v1")
	if _, changed := r.Updated(now, []string{"v1"}); changed {
		t.Error("the same version is a change")
	}
	r, _ = r.Updated(now, []string{"v1", "v2"})
	check("two in use", r, now.Add(time.Hour), true, "v1", "v2")
	r, _ = r.Updated(now, []string{"v2"})
	check("v1 is gone", r, now.Add(VersionMemory), true, "v1", "v2")
	check("a minute later, by a clock that is behind", r, now.Add(-5*time.Second), true, "v1", "v2")
	check("long after", r, now.Add(VersionMemory+recordMargin+time.Second), true, "v2")
	r.Since = now.UnixMilli()
	check("record of a fleet that ran before", r, now.Add(VersionMemory), false, "v1", "v2")
	check("the same, later", r, now.Add(2*VersionMemory), true, "v2")
	r, _ = r.Updated(now.Add(2*VersionMemory), []string{"v2"})
	if len(r.LastUsed) != 1 {
		t.Errorf("old versions are kept: %v", r.LastUsed)
	}
}

func TestSegmentsKeepOriginsForTheirTime(t *testing.T) {
	var pending Pending
	if _, _, ok := pending.Take(time.Now(), time.Minute); ok {
		t.Error("an empty segment is written")
	}
	pending.Add("a", "v1")
	pending.Add("b", "v2")
	for n := range maxSegmentStreams {
		pending.Add(fmt.Sprint("stream-", n), "v2")
	}
	wall := time.UnixMilli(1_000_000_000)
	value, dropped, ok := pending.Take(wall, time.Minute)
	if !ok || dropped != 2 {
		t.Fatalf("%t, %d dropped", ok, dropped)
	}
	segment, err := DecodeSegment(value)
	if err != nil {
		t.Fatal(err)
	}
	archive := NewArchive()
	archive.Add(time.Hour, wall.Add(20*time.Second), segment)
	if version, ok := archive.Find(time.Hour+39*time.Second, "a"); !ok || version != "v1" {
		t.Errorf("%q, %t", version, ok)
	}
	if _, ok := archive.Find(time.Hour+40*time.Second, "a"); ok {
		t.Error("an origin is found after its time")
	}
	if _, ok := archive.Find(time.Hour, "c"); ok {
		t.Error("an unknown request has an origin")
	}
	late := NewArchive()
	late.Add(time.Hour, wall.Add(2*time.Minute), segment)
	if _, ok := late.Find(time.Hour, "a"); ok {
		t.Error("an old segment is used")
	}
}

// Anybody may write to the service: a segment that can't be one is not used.
func TestMalformedSegmentsAreRejected(t *testing.T) {
	for _, value := range [][]byte{nil, {0xff}, []byte("{}"), {0xa1, 0x02, 0x1b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0xa1, 0x01, 0x20}} {
		if s, err := DecodeSegment(value); err == nil {
			t.Errorf("%x accepted as %+v", value, s)
		}
	}
}
