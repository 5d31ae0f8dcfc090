package entry

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/dissemination"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// Nodes of two versions run side by side while machines are replaced one after the other. The
// messages and stored values of the previous version are recorded in testdata/previous, by that
// version's code, with
//
//	go test ./entry -run TestRecord -record DIR

var recordFolder = flag.String("record", "", "folder to record this version's messages and stored values in")

// sharedMessages creates, by name, empty messages that nodes of two versions exchange.
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

	"forward-request":    func() any { return &forwardRequest{} },
	"forward-reply":      func() any { return &forwardReply{} },
	"forwarders-request": func() any { return &forwardersRequest{} },
	"forwarders-reply":   func() any { return &forwardersReply{} },

	"tenants-request": func() any { return &tenantReportRequest{} },
	"tenants-reply":   func() any { return &tenantReportReply{} },
}

// addedMessages are the messages that the previous version does not have. They are removed from here once
// testdata/previous has them.
var addedMessages = map[string]bool{"forward-request": true, "forward-reply": true, "forwarders-request": true, "forwarders-reply": true, "stream-origins": true}

// storedValues creates, by name, empty values that two versions share in the store, as JSON.
var storedValues = map[string]func() any{
	"rollout-record": func() any { return &rollouts.Record{} },
	"barred":         func() any { return &[]poisonrecords.Record{} },
	"stream-origins": func() any { return &streamorigins.Batch{} },
}

// forEachRecorded calls test for every message and stored value that the previous version has.
func forEachRecorded(g *gomega.WithT, test func(name string, create func() any)) {
	forEachShared(func(name string, create func() any) {
		if addedMessages[name] {
			g.Expect(filepath.Join("testdata", "previous", name)).NotTo(gomega.BeAnExistingFile(), "remove it from addedMessages")
			return
		}
		test(name, create)
	})
}

// fill sets every exported field to a value other than zero.
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

// filled returns a new value with every exported field set.
func filled(create func() any) any {
	value := create()
	fill(reflect.ValueOf(value).Elem(), 0)
	return value
}

// encodeShared encodes the message or stored value as nodes do.
func encodeShared(name string, value any) ([]byte, error) {
	if _, isStored := storedValues[name]; isStored {
		return json.Marshal(value)
	}
	return msgpack.Marshal(value)
}

// decodeShared decodes the message or stored value as nodes do.
func decodeShared(name string, content []byte, into any) error {
	if _, isStored := storedValues[name]; isStored {
		return json.Unmarshal(content, into)
	}
	return msgpack.Unmarshal(content, into)
}

// forEachShared calls test for every message and stored value.
func forEachShared(test func(name string, create func() any)) {
	for _, group := range []map[string]func() any{sharedMessages, storedValues} {
		for name, create := range group {
			test(name, create)
		}
	}
}

// Guards against messages and stored values that change by encoding and decoding, and records them
// if -record is given.
func TestRecordSharedMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := *recordFolder
	if folder == "" {
		folder = t.TempDir()
	}
	forEachShared(func(name string, create func() any) {
		sent, decoded := filled(create), create()
		content, err := encodeShared(name, sent)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		path := filepath.Join(folder, name)
		g.Expect(os.WriteFile(path, content, 0o600)).To(gomega.Succeed())
		recorded, err := os.ReadFile(path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(decodeShared(name, recorded, decoded)).To(gomega.Succeed(), name)
		reencoded, err := encodeShared(name, decoded)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(reencoded).To(gomega.Equal(content), name)
	})
}

// decodeGeneric decodes into maps, lists and plain values.
func decodeGeneric(g *gomega.WithT, name string, content []byte) any {
	var value any
	g.Expect(decodeShared(name, content, &value)).To(gomega.Succeed(), name)
	return value
}

// wireDifferences returns what the second value lacks of the first or has of another kind. Missing
// fields and the contents of plain values are compared only if exact is true.
func wireDifferences(path string, first, second any, exact bool) []string {
	switch known := first.(type) {
	case map[string]any:
		other, isMap := second.(map[string]any)
		if !isMap {
			return []string{fmt.Sprintf("%s: %T in place of a map", path, second)}
		}
		var differences []string
		for key, value := range known {
			found, isPresent := other[key]
			if !isPresent {
				if exact {
					differences = append(differences, path+"/"+key+" is gone")
				}
				continue
			}
			differences = append(differences, wireDifferences(path+"/"+key, value, found, exact)...)
		}
		return differences
	case []any:
		other, isList := second.([]any)
		if !isList || len(other) != len(known) {
			return []string{fmt.Sprintf("%s: %v in place of %d elements", path, second, len(known))}
		}
		var differences []string
		for i, value := range known {
			differences = append(differences, wireDifferences(fmt.Sprint(path, "/", i), value, other[i], exact)...)
		}
		return differences
	}
	if wireKind(first) != wireKind(second) || exact && fmt.Sprint(first) != fmt.Sprint(second) {
		return []string{fmt.Sprintf("%s: %v (%T) in place of %v (%T)", path, second, second, first, first)}
	}
	return nil
}

// wireKind returns the kind of a value, with integers of all widths as one, as decoders treat them.
func wireKind(value any) string {
	switch reflect.ValueOf(value).Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "integer"
	default:
		return fmt.Sprintf("%T", value)
	}
}

// readPrevious returns the message or stored value recorded by the previous version.
func readPrevious(g *gomega.WithT, name string) []byte {
	content, err := os.ReadFile(filepath.Join("testdata", "previous", name))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return content
}

// Guards against fields of the previous version that this version can't read or drops when it
// forwards a value.
func TestPreviousVersionMessagesAreDecodedWithoutLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	forEachRecorded(g, func(name string, create func() any) {
		content := readPrevious(g, name)
		decoded := create()
		g.Expect(decodeShared(name, content, decoded)).To(gomega.Succeed(), name)
		reencoded, err := encodeShared(name, decoded)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(wireDifferences(name, decodeGeneric(g, name, content), decodeGeneric(g, name, reencoded), true)).To(gomega.BeEmpty())
	})
}

// Guards against fields of this version that the previous version can't decode because their kind
// or, in lists by position, their number changed.
func TestPreviousVersionCanDecodeCurrentMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	forEachRecorded(g, func(name string, create func() any) {
		content, err := encodeShared(name, filled(create))
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(wireDifferences(name, decodeGeneric(g, name, readPrevious(g, name)), decodeGeneric(g, name, content), false)).To(gomega.BeEmpty())
	})
}

// wireKeys returns the keys of the map at the path in the encoded message.
func wireKeys(g *gomega.WithT, message any, path ...string) []string {
	content, err := msgpack.Marshal(message)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	value := decodeGeneric(g, "message", content)
	for _, key := range path {
		value = value.(map[string]any)[key]
	}
	return slices.Collect(maps.Keys(value.(map[string]any)))
}

// Guards against optional fields that are sent when they have no value, which costs bytes in every
// message, that lose their name on the wire, or that are the scheduling node's own and are sent.
func TestOptionalFieldsAreSentOnlyWithAValue(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, message := range []struct {
		empty  any
		path   []string
		fields []string
	}{
		{&assignRequest{}, []string{"Request"}, []string{"Tenant", "Weight", "Held"}},
		{&assignRequest{}, nil, []string{"RequestID", "MayHaveRun"}},
		{&firstEventRequest{}, nil, []string{"WorkTime", "SinceGrant"}},
		{&finishRequest{}, nil, []string{"Unsent", "Gone"}},
		{&finishRequest{}, []string{"Seen"}, []string{"WorkTime", "HeadDelay"}},
		{&liveness.Heartbeat{}, nil, []string{"ts"}},
		{&tenantReportRequest{}, nil, []string{"Request"}},
	} {
		full := filled(func() any { return reflect.New(reflect.TypeOf(message.empty).Elem()).Interface() })
		for _, field := range message.fields {
			g.Expect(wireKeys(g, message.empty, message.path...)).NotTo(gomega.ContainElement(field))
			g.Expect(wireKeys(g, full, message.path...)).To(gomega.ContainElement(field))
		}
	}
	own := wireKeys(g, filled(func() any { return &assignRequest{} }), "Request")
	g.Expect(own).To(gomega.ContainElement("Tenant"))
	g.Expect(own).NotTo(gomega.ContainElement("HasReservation"))
}

// Guards against a comparison that misses a field whose kind changed, a removed field or a longer list.
func TestDifferencesBetweenVersionsAreDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	known := map[string]any{"a": int8(1), "b": []any{"x"}, "c": "y"}
	g.Expect(wireDifferences("", known, map[string]any{"a": int64(1), "b": []any{"x"}, "c": "y", "d": 2}, true)).To(gomega.BeEmpty())
	g.Expect(wireDifferences("", known, map[string]any{"a": "1", "b": []any{"x", "z"}}, false)).To(gomega.HaveLen(2))
	g.Expect(wireDifferences("", known, map[string]any{"a": int64(1), "b": []any{"x"}}, true)).To(gomega.HaveLen(1))
}

// FuzzSharedMessages checks that any input is either rejected or decoded to a value that can be encoded.
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
