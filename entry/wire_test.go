package entry

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/dissemination"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/rollouts"
)

// Nodes of two versions run side by side while machines are replaced one after the other. What the
// version of the landing before this one sends and stores is recorded in testdata/previous; it is
// recorded anew from that version's code with
//
//	go test ./entry -run TestRecord -record DIR

var recordFolder = flag.String("record", "", "folder for what this version sends and stores")

// shared are the messages between nodes and the values in the store that two versions share, by
// name, empty.
var sharedMessages = map[string]func() any{
	"beat":          func() any { return &liveness.Heartbeat{} },
	"place-request": func() any { return &assignRequest{} },
	"place-reply":   func() any { return &assignReply{} },
	"finish":        func() any { return &finishRequest{} },
	"begun":         func() any { return &firstEventRequest{} },
	"news-request":  func() any { return &updatesRequest{} },
	"news-reply":    func() any { return &updatesReply{} },
	"contents":      func() any { return &poisonReply{} },
	"parts-request": func() any { return &dissemination.Request{} },
	"parts-reply":   func() any { return &dissemination.Reply{} },
}

// stored are the values in the store, which are JSON.
var storedValues = map[string]func() any{
	"rollout-record": func() any { return &rollouts.Record{} },
	"barred":         func() any { return &[]poisonrecords.Record{} },
}

// fill gives every field that is sent a value other than zero.
func fill(value reflect.Value, depth int) {
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), depth)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i), depth+1)
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), depth+1)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), depth+1)
		}
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, depth+1)
		fill(element, depth+1)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.String:
		value.SetString(fmt.Sprint("text", depth))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(depth) + 0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(depth + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(depth + 1))
	}
}

// filled returns the value with everything set.
func filled(create func() any) any {
	value := create()
	fill(reflect.ValueOf(value).Elem(), 0)
	return value
}

func encodeShared(name string, value any) ([]byte, error) {
	if _, isStored := storedValues[name]; isStored {
		return json.Marshal(value)
	}
	return msgpack.Marshal(value)
}

func decodeShared(name string, content []byte, into any) error {
	if _, isStored := storedValues[name]; isStored {
		return json.Unmarshal(content, into)
	}
	return msgpack.Unmarshal(content, into)
}

func forEachShared(test func(name string, create func() any)) {
	for _, group := range []map[string]func() any{sharedMessages, storedValues} {
		for name, create := range group {
			test(name, create)
		}
	}
}

// What is recorded is read again as it was said.
func TestRecordSharedMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := *recordFolder
	if folder == "" {
		folder = t.TempDir()
	}
	forEachShared(func(name string, create func() any) {
		said, read := filled(create), create()
		content, err := encodeShared(name, said)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		path := filepath.Join(folder, name)
		g.Expect(os.WriteFile(path, content, 0o600)).To(gomega.Succeed())
		recorded, err := os.ReadFile(path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(decodeShared(name, recorded, read)).To(gomega.Succeed(), name)
		again, err := encodeShared(name, read)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(again).To(gomega.Equal(content), name)
	})
}

// generic decodes into maps, lists and plain values.
func decodeGeneric(g *gomega.WithT, name string, content []byte) any {
	var value any
	g.Expect(decodeShared(name, content, &value)).To(gomega.Succeed(), name)
	return value
}

// lacks names what of the first value the second one does not hold: a field, an element, or the
// kind of a value. If exact is true, plain values are compared too.
func wireDifferences(path string, first, second any, exact bool) []string {
	switch known := first.(type) {
	case map[string]any:
		other, isMap := second.(map[string]any)
		if !isMap {
			return []string{fmt.Sprintf("%s: %T in place of a map", path, second)}
		}
		var missing []string
		for key, value := range known {
			found, has := other[key]
			if !has {
				if exact {
					missing = append(missing, path+"/"+key+" is gone")
				}
				continue
			}
			missing = append(missing, wireDifferences(path+"/"+key, value, found, exact)...)
		}
		return missing
	case []any:
		other, isList := second.([]any)
		if !isList || len(other) != len(known) {
			return []string{fmt.Sprintf("%s: %v in place of %d elements", path, second, len(known))}
		}
		var missing []string
		for i, value := range known {
			missing = append(missing, wireDifferences(fmt.Sprint(path, "/", i), value, other[i], exact)...)
		}
		return missing
	}
	if wireKind(first) != wireKind(second) || exact && fmt.Sprint(first) != fmt.Sprint(second) {
		return []string{fmt.Sprintf("%s: %v (%T) in place of %v (%T)", path, second, second, first, first)}
	}
	return nil
}

// kindOfWire puts numbers of all widths together, as decoders do.
func wireKind(value any) string {
	switch reflect.ValueOf(value).Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "integer"
	default:
		return fmt.Sprintf("%T", value)
	}
}

func readPrevious(g *gomega.WithT, name string) []byte {
	content, err := os.ReadFile(filepath.Join("testdata", "previous", name))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return content
}

// What the version before sent and stored is read whole, and nothing of it is lost when this
// version passes it on.
func TestPreviousVersionMessagesAreDecodedWithoutLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	forEachShared(func(name string, create func() any) {
		content := readPrevious(g, name)
		read := create()
		g.Expect(decodeShared(name, content, read)).To(gomega.Succeed(), name)
		again, err := encodeShared(name, read)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(wireDifferences(name, decodeGeneric(g, name, content), decodeGeneric(g, name, again), true)).To(gomega.BeEmpty())
	})
}

// The version before reads what this one says: each field that it knows is of the kind that it was,
// or left out, and lists by position have the length that they had.
func TestPreviousVersionCanDecodeCurrentMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	forEachShared(func(name string, create func() any) {
		content, err := encodeShared(name, filled(create))
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(wireDifferences(name, decodeGeneric(g, name, readPrevious(g, name)), decodeGeneric(g, name, content), false)).To(gomega.BeEmpty())
	})
}

// The check must see a field whose kind changed, one that went and a list that grew.
func TestDifferencesBetweenVersionsAreDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	known := map[string]any{"a": int8(1), "b": []any{"x"}, "c": "y"}
	g.Expect(wireDifferences("", known, map[string]any{"a": int64(1), "b": []any{"x"}, "c": "y", "d": 2}, true)).To(gomega.BeEmpty())
	g.Expect(wireDifferences("", known, map[string]any{"a": "1", "b": []any{"x", "z"}}, false)).To(gomega.HaveLen(2))
	g.Expect(wireDifferences("", known, map[string]any{"a": int64(1), "b": []any{"x"}}, true)).To(gomega.HaveLen(1))
}

// Whatever another version sends is read or refused.
func FuzzSharedMessages(f *testing.F) {
	names := make([]string, 0, len(sharedMessages))
	for name := range sharedMessages {
		names = append(names, name)
		if content, err := os.ReadFile(filepath.Join("testdata", "previous", name)); err == nil {
			f.Add(content)
		}
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, name := range names {
			into := sharedMessages[name]()
			if decodeShared(name, content, into) != nil {
				continue
			}
			if _, err := encodeShared(name, into); err != nil {
				t.Fatalf("%s was read and can't be sent: %v", name, err)
			}
		}
	})
}
