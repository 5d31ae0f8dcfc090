// Package settingsync accepts changes of the settings tree through the
// platform's store and keeps nodes at the highest accepted generation.
//
// The tree is one value in the store, with its generation and the ids of the
// last changes. A change is accepted by compare-and-swap, so that it is atomic
// and never reverts; a swap with an unknown outcome is settled by looking for
// the change's id. See docs/decisions for why the tree is one value.
package settingsync

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/internal/wait"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/settings"
)

// Key is the store key of the tree.
const Key = "thornwalk/settings"

const (
	// keptChanges is how many changes a document remembers; a change with an
	// unknown outcome must be settled before as many others were accepted.
	keptChanges = 64
	// maximumDocument bounds the encoded tree; the store holds a megabyte.
	maximumDocument = 900_000
	// attemptPause is the time between tries to settle a change.
	attemptPause = 50 * time.Millisecond
)

// ChangeRecord is an accepted change as the document remembers it.
type ChangeRecord struct {
	ID         string            `msgpack:"i" json:"id"`
	Author     string            `msgpack:"a" json:"author"`
	Generation uint64            `msgpack:"g" json:"generation"`
	Unix       int64             `msgpack:"t" json:"unix"`
	Edits      []settings.Change `msgpack:"e" json:"edits"`
}

// Document is the value in the store.
type Document struct {
	Generation uint64            `msgpack:"g"`
	Branches   []settings.Branch `msgpack:"b"`
	Changes    []ChangeRecord    `msgpack:"c"`
}

// Tree returns the document's tree.
func (d *Document) Tree() *settings.Tree { return settings.NewTree(d.Branches...) }

func (d *Document) has(changeID string) (ChangeRecord, bool) {
	for _, change := range d.Changes {
		if change.ID == changeID {
			return change, true
		}
	}
	return ChangeRecord{}, false
}

// Decode reads a document. The error is of kind InvalidSettings.
func Decode(data []byte) (*Document, error) {
	document := &Document{}
	if err := msgpack.Unmarshal(data, document); err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "the store's settings do not parse: %v", err)
	}
	return document, nil
}

// Encode returns the stored form. The error is of kind InvalidSettings if the
// tree is too large.
func (d *Document) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(d)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err)
	}
	if len(data) > maximumDocument {
		return nil, errkind.New(errkind.InvalidSettings, "the tree takes %d bytes, more than %d: merge tenants that share all values", len(data), maximumDocument)
	}
	return data, nil
}

// Change asks for edits on top of a generation.
type Change struct {
	// ID is unique; repeating a change under its id has no second effect.
	ID     string `json:"id"`
	Author string `json:"author"`
	// Base is the generation that the edits were made on.
	Base uint64 `json:"base"`
	// Edits lists values to set, or to unset where Unset is true.
	Edits []Edit `json:"edits"`
}

// Edit is one edit of a change.
type Edit struct {
	Path  string `json:"path"`
	Key   string `json:"key,omitempty"`
	Text  string `json:"text,omitempty"`
	Unset bool   `json:"unset,omitempty"`
	// Remove removes the whole branch; Key is then empty.
	Remove bool `json:"remove,omitempty"`
}

// Apply returns the tree with the edits.
func (c *Change) Apply(tree *settings.Tree) *settings.Tree {
	for _, edit := range c.Edits {
		switch {
		case edit.Remove:
			tree = tree.Remove(edit.Path)
		case edit.Unset:
			tree = tree.Unset(edit.Path, edit.Key)
		default:
			tree = tree.Set(edit.Path, edit.Key, edit.Text)
		}
	}
	return tree
}

// Committer accepts changes. It is safe for concurrent use.
type Committer struct {
	Store    outside.Store
	WallTime func() time.Time
	Faults   faultpoint.Injector
}

// Commit writes the change on top of its base and returns its record once it
// is in the store for good. Errors: InvalidSettings if the result does not
// compile; Conflict if another change was accepted since the base, which the
// message names; StoreUnavailable if nothing was written; StoreUnknown if the
// context ended before the outcome was settled.
func (a *Committer) Commit(ctx context.Context, change Change) (ChangeRecord, *Document, error) {
	written := false
	for {
		record, document, settled, err := a.attempt(ctx, change, &written)
		if settled {
			return record, document, err
		}
		if !wait.For(ctx, attemptPause) {
			if written {
				return ChangeRecord{}, nil, errkind.New(errkind.StoreUnknown, "change %s: %v", change.ID, err)
			}
			return ChangeRecord{}, nil, errkind.New(errkind.StoreUnavailable, "change %s: %v", change.ID, err)
		}
	}
}

// attempt reads the document, looks for the change in it, and otherwise swaps
// it in. It is settled unless the store failed.
func (a *Committer) attempt(ctx context.Context, change Change, written *bool) (ChangeRecord, *Document, bool, error) {
	if err := faultpoint.Reach(ctx, a.Faults, faultpoint.ChangeRead, change.ID); err != nil {
		return ChangeRecord{}, nil, false, err
	}
	value, err := a.Store.Get(ctx, Key)
	if err != nil {
		return ChangeRecord{}, nil, false, err
	}
	document := &Document{}
	if value.Revision != 0 {
		if document, err = Decode(value.Data); err != nil {
			return ChangeRecord{}, nil, true, err
		}
	}
	if record, accepted := document.has(change.ID); accepted {
		return record, document, true, nil
	}
	if document.Generation != change.Base {
		return ChangeRecord{}, document, true, conflict(document, change)
	}
	record, next, data, err := a.prepare(document, change)
	if err != nil {
		return ChangeRecord{}, nil, true, err
	}
	if err := faultpoint.Reach(ctx, a.Faults, faultpoint.ChangeWrite, change.ID); err != nil {
		return ChangeRecord{}, nil, false, err
	}
	*written = true
	if _, err := a.Store.Swap(ctx, Key, value.Revision, data, 0); err != nil {
		if errors.Is(err, errkind.StoreUnavailable) {
			*written = false
		}
		return ChangeRecord{}, nil, false, err
	}
	if err := faultpoint.Reach(ctx, a.Faults, faultpoint.ChangeSwap, change.ID); err != nil {
		return ChangeRecord{}, nil, false, err
	}
	return record, next, true, nil
}

// prepare compiles the change and encodes the document that it leads to.
func (a *Committer) prepare(document *Document, change Change) (ChangeRecord, *Document, []byte, error) {
	before := document.Tree()
	after := change.Apply(before)
	generation := document.Generation + 1
	if _, err := after.Compile(generation); err != nil {
		return ChangeRecord{}, nil, nil, err
	}
	record := ChangeRecord{
		ID: change.ID, Author: change.Author, Generation: generation,
		Unix: a.WallTime().Unix(), Edits: settings.Diff(before, after),
	}
	next := &Document{Generation: generation, Branches: after.Branches()}
	next.Changes = append(next.Changes, document.Changes...)
	next.Changes = append(next.Changes, record)
	if excess := len(next.Changes) - keptChanges; excess > 0 {
		next.Changes = next.Changes[excess:]
	}
	for i := range next.Changes[:len(next.Changes)-1] {
		next.Changes[i].Edits = trim(next.Changes[i].Edits)
	}
	data, err := next.Encode()
	return record, next, data, err
}

// maximumEdits bounds the edits remembered of an earlier change.
const maximumEdits = 20

func trim(edits []settings.Change) []settings.Change {
	return edits[:min(len(edits), maximumEdits)]
}

func conflict(document *Document, change Change) error {
	since := ""
	for _, record := range document.Changes {
		if record.Generation <= change.Base {
			continue
		}
		for _, edit := range record.Edits {
			since += "; " + record.Author + " set /" + edit.Path + " " + edit.Key + "=" + edit.After
		}
	}
	return errkind.New(errkind.Conflict, "generation %d is in force, the change was made on %d%s", document.Generation, change.Base, since)
}

// Current holds the generation in force at a node. It only rises. It is safe
// for concurrent use; reading takes no lock.
type Current struct {
	mutex    sync.Mutex // held while a generation is taken into force
	state    atomic.Pointer[inForce]
	onChange func(*settings.Compiled)
}

// inForce is one generation in all its forms.
type inForce struct {
	document *Document
	compiled *settings.Compiled
	// encoded is made once for all peers that ask.
	encoded func() ([]byte, error)
}

func newInForce(document *Document, compiled *settings.Compiled) *inForce {
	return &inForce{document: document, compiled: compiled, encoded: sync.OnceValues(document.Encode)}
}

// NewCurrent returns a holder in which the document is in force; onChange runs
// after each rise, one at a time, in order.
func NewCurrent(document *Document, onChange func(*settings.Compiled)) (*Current, error) {
	compiled, err := document.Tree().Compile(document.Generation)
	if err != nil {
		return nil, err
	}
	holder := &Current{onChange: onChange}
	holder.state.Store(newInForce(document, compiled))
	return holder, nil
}

// Compiled returns the settings in force.
func (h *Current) Compiled() *settings.Compiled { return h.state.Load().compiled }

// Document returns the document in force. It must not be changed.
func (h *Current) Document() *Document { return h.state.Load().document }

// EncodedIfNewer returns the stored form of the document in force if its generation is higher
// than the one given, and otherwise nil. It must not be changed.
func (h *Current) EncodedIfNewer(generation uint64) ([]byte, error) {
	state := h.state.Load()
	if state.document.Generation <= generation {
		return nil, nil
	}
	return state.encoded()
}

// InstallIfNewer takes the document into force if its generation is higher than the one
// in force, and returns whether it did. The error is of kind InvalidSettings if
// it does not compile; the one in force then stays.
func (h *Current) InstallIfNewer(document *Document) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if document.Generation <= h.Document().Generation {
		return false, nil
	}
	compiled, err := document.Tree().Compile(document.Generation)
	if err != nil {
		return false, err
	}
	h.state.Store(newInForce(document, compiled))
	if h.onChange != nil {
		h.onChange(compiled)
	}
	return true, nil
}
