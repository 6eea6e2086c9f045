package catalog

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"github.com/barleylift/barleylift/internal/profile"
)

// ChangeKind is how an item differs between two configurations.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one item that differs between two configurations.
type Change struct {
	Change ChangeKind `json:"change"`
	Item   string     `json:"item"`
	Name   string     `json:"name"`
}

// String returns the change as one line.
func (c Change) String() string {
	return fmt.Sprintf("%-7s %s %q", c.Change, c.Item, c.Name)
}

// Diff returns the items that differ between two configurations, ordered by
// kind and name.
func Diff(before, after Contents) []Change {
	var changes []Change
	changes = append(changes, diffKind(KindZone, before.Zones, after.Zones, func(z Zone) string { return z.Name })...)
	changes = append(changes, diffKind(KindEngine, before.Engines, after.Engines, func(e Engine) string { return e.Name })...)
	changes = append(changes, diffKind(KindService, before.Services, after.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, diffKind(KindRoute, before.Routes, after.Routes, func(r Route) string { return r.Name })...)
	changes = append(changes, diffKind(KindAdapter, before.Adapters, after.Adapters, func(a Adapter) string { return a.Name })...)
	changes = append(changes, diffKind(KindProfile, before.Profiles, after.Profiles, func(p profile.Profile) string { return p.Name })...)
	changes = append(changes, diffKind(KindCustomer, before.Customers, after.Customers, func(c Customer) string { return c.Name })...)
	changes = append(changes, diffKind(KindWeightStore, before.WeightStores, after.WeightStores, func(w WeightStore) string { return w.Name })...)
	return changes
}

func diffKind[T any](kind Kind, before, after []T, name func(T) string) []Change {
	beforeByName := indexBy(before, name)
	afterByName := indexBy(after, name)
	var changes []Change
	for _, item := range after {
		previous, ok := beforeByName.get(name(item))
		switch {
		case !ok:
			changes = append(changes, Change{Added, kind.String(), name(item)})
		case !sameItem(previous, item):
			changes = append(changes, Change{Changed, kind.String(), name(item)})
		}
	}
	for _, item := range before {
		if _, ok := afterByName.get(name(item)); !ok {
			changes = append(changes, Change{Removed, kind.String(), name(item)})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// sameItem compares the encoded forms, in which an empty list equals a nil one.
func sameItem[T any](a, b T) bool {
	if reflect.DeepEqual(a, b) {
		return true
	}
	first, errFirst := encMode.Marshal(a)
	second, errSecond := encMode.Marshal(b)
	return errFirst == nil && errSecond == nil && slices.Equal(first, second)
}
