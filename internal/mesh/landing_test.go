package mesh

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// landingMessages holds one datagram of each kind, with all fields set, as the daemons of
// the last landing (d4467a8) send them. -update writes it with the current code: only when
// a landing's daemons are no longer in use anywhere.
const landingMessages = "testdata/landing-d4467a8.hex"

var update = flag.Bool("update", false, "write the messages of the last landing anew")

// fill sets all fields of a value, slices to two elements.
func fill(v reflect.Value, n int) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n+i)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), n)
		fill(v.Index(1), n+1)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(1000 + n))
	case reflect.Uint64, reflect.Uint32, reflect.Uint8:
		v.SetUint(uint64(100 + n))
	default:
		panic("unexpected kind " + v.Kind().String())
	}
}

// messages returns one packet of each kind, with all fields set, by the kind's name.
func messages() map[string]Packet {
	all := make(map[string]Packet)
	t := reflect.TypeFor[Packet]()
	for i := range t.NumField() {
		if kind := t.Field(i).Type.Kind(); kind != reflect.Pointer && kind != reflect.Slice {
			continue
		}
		packet := Packet{From: "vm", Incarnation: 7}
		fill(reflect.ValueOf(&packet).Elem().Field(i), i)
		all[t.Field(i).Name] = packet
	}
	return all
}

func readLanding(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(landingMessages)
	if err != nil {
		t.Fatal(err)
	}
	landing := make(map[string][]byte)
	for line := range strings.Lines(string(text)) {
		name, data, _ := strings.Cut(strings.TrimSpace(line), " ")
		if landing[name], err = hex.DecodeString(data); err != nil {
			t.Fatal(err)
		}
	}
	return landing
}

func TestMessagesOfTheLastLandingAreRead(t *testing.T) {
	if *update {
		var text strings.Builder
		for name, packet := range messages() {
			data, err := cbor.Marshal(packet)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "%s %x\n", name, data)
		}
		if err := os.WriteFile(landingMessages, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for name, data := range readLanding(t) {
		var packet Packet
		if err := cbor.Unmarshal(data, &packet); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		again, err := cbor.Marshal(packet)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(again, data) {
			t.Errorf("%s: fields of the last landing's message are lost: %+v", name, packet)
		}
	}
}

// Daemons of the last landing skip fields that they don't know, if these have integer keys.
// A longer array, or another type, makes them drop the datagram.
func TestMessagesAreReadByTheLastLanding(t *testing.T) {
	current := messages()
	for name, data := range readLanding(t) {
		var before, after any
		if err := cbor.Unmarshal(data, &before); err != nil {
			t.Fatal(err)
		}
		encoded, err := cbor.Marshal(current[name])
		if err != nil {
			t.Fatal(err)
		}
		if err := cbor.Unmarshal(encoded, &after); err != nil {
			t.Fatal(err)
		}
		if path := difference(before, after); path != "" {
			t.Errorf("%s: the last landing's daemons can't read %s", name, path)
		}
	}
}

// difference returns where a message has another shape than before; empty if all that was
// there is there.
func difference(before, after any) string {
	switch before := before.(type) {
	case map[any]any:
		after, ok := after.(map[any]any)
		if !ok {
			return "a field that was a map"
		}
		for key, value := range before {
			if path := difference(value, after[key]); path != "" {
				return fmt.Sprint("key ", key, ": ", path)
			}
		}
	case []any:
		after, ok := after.([]any)
		if !ok || len(after) != len(before) {
			return fmt.Sprintf("an array of %d that had %d elements", len(after), len(before))
		}
		for i, value := range before {
			if path := difference(value, after[i]); path != "" {
				return fmt.Sprint("element ", i, ": ", path)
			}
		}
	default:
		if reflect.TypeOf(before) != reflect.TypeOf(after) {
			return fmt.Sprintf("a %T that was a %T", after, before)
		}
	}
	return ""
}
