// Package settingsync commits changes of the settings tree to the store and
// keeps the generation that is active at a node, which only increases.
//
// The tree is one value in the store, together with its generation and the last
// changes, and is replaced by compare-and-swap, so that changes are atomic. If the
// outcome of a swap is unknown, the change's id is looked up in the stored value.
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
	"github.com/thornwalk/thornwalk/protocol/msgpackcheck"
	"github.com/thornwalk/thornwalk/state/settings"
)

// Key is the store key of the document.
const Key = "thornwalk/settings"

const (
	// maxRecordedChanges bounds the changes recorded in a document. The outcome of
	// a change must be determined before as many later changes are committed.
	maxRecordedChanges = 64
	// maxDocumentBytes bounds the encoded document; the store accepts values of
	// one megabyte.
	maxDocumentBytes = 900_000
	// retryDelay is the time between attempts to commit a change.
	retryDelay = 50 * time.Millisecond
)

// ChangeRecord records a committed change.
type ChangeRecord struct {
	ID         string `msgpack:"i" json:"id"`
	Author     string `msgpack:"a" json:"author"`
	Generation uint64 `msgpack:"g" json:"generation"`
	// Unix is when the change was committed, in seconds since the epoch.
	Unix  int64             `msgpack:"t" json:"unix"`
	Edits []settings.Change `msgpack:"e" json:"edits"`
}

// Document is the value in the store: the settings tree and its last changes.
type Document struct {
	Generation uint64            `msgpack:"g"`
	Branches   []settings.Branch `msgpack:"b"`
	Changes    []ChangeRecord    `msgpack:"c"`
}

// Tree returns the settings tree of the document.
func (d *Document) Tree() *settings.Tree { return settings.NewTree(d.Branches...) }

func (d *Document) findChange(changeID string) (ChangeRecord, bool) {
	for _, change := range d.Changes {
		if change.ID == changeID {
			return change, true
		}
	}
	return ChangeRecord{}, false
}

// Decode decodes a stored document. The error is of kind InvalidSettings.
func Decode(data []byte) (*Document, error) {
	document := &Document{}
	if err := msgpackcheck.Unmarshal(data, document); err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "decoding the stored settings: %v", err)
	}
	return document, nil
}

// Encode returns the stored form of the document. The error is of kind
// InvalidSettings if the document is too large.
func (d *Document) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(d)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err)
	}
	if len(data) > maxDocumentBytes {
		return nil, errkind.New(errkind.InvalidSettings, "encoding the settings: %d bytes exceed the limit of %d bytes; merge tenants that share all values", len(data), maxDocumentBytes)
	}
	return data, nil
}

// Change is a set of edits to commit on top of a generation.
type Change struct {
	// ID is unique per change; committing a change again has no further effect.
	ID     string `json:"id"`
	Author string `json:"author"`
	// Base is the generation that the edits are based on.
	Base  uint64 `json:"base"`
	Edits []Edit `json:"edits"`
}

// Edit sets one value to Text, unsets it or removes a branch.
type Edit struct {
	Path  string `json:"path"`
	Key   string `json:"key,omitempty"`
	Text  string `json:"text,omitempty"`
	Unset bool   `json:"unset,omitempty"`
	// Remove removes the branch with all its values; Key is then empty.
	Remove bool `json:"remove,omitempty"`
}

// Apply returns the tree with the edits applied.
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

// Committer commits changes to the store. It is safe for concurrent use.
type Committer struct {
	Store    outside.Store
	WallTime func() time.Time
	Faults   faultpoint.Injector
}

// Commit writes the change on top of its base and returns its record and the new
// document. It retries failed store calls until the context ends.
//
// Errors: InvalidSettings if the result does not compile; Conflict if other
// changes, which the message lists, were committed since the base;
// StoreUnavailable if the last attempt wrote nothing; StoreUnknown if the context
// ended before the outcome was known.
func (c *Committer) Commit(ctx context.Context, change Change) (ChangeRecord, *Document, error) {
	written := false
	for {
		record, document, done, err := c.tryCommit(ctx, change, &written)
		if done {
			return record, document, err
		}
		if !wait.Sleep(ctx, retryDelay) {
			if written {
				return ChangeRecord{}, nil, errkind.New(errkind.StoreUnknown, "committing settings change %s: outcome unknown: %v", change.ID, err)
			}
			return ChangeRecord{}, nil, errkind.New(errkind.StoreUnavailable, "committing settings change %s: the store is unavailable: %v", change.ID, err)
		}
	}
}

// tryCommit reads the document and, unless it contains the change already, swaps
// in the changed document. The third result is false if the attempt failed and may
// be retried. It sets written to true before the swap, and back to false if the
// store certainly did not apply the swap.
func (c *Committer) tryCommit(ctx context.Context, change Change, written *bool) (ChangeRecord, *Document, bool, error) {
	if err := faultpoint.Reach(ctx, c.Faults, faultpoint.ChangeRead, change.ID); err != nil {
		return ChangeRecord{}, nil, false, err
	}
	value, err := c.Store.Get(ctx, Key)
	if err != nil {
		return ChangeRecord{}, nil, false, err
	}
	document := &Document{}
	if value.Revision != 0 {
		if document, err = Decode(value.Data); err != nil {
			return ChangeRecord{}, nil, true, err
		}
	}
	if record, committed := document.findChange(change.ID); committed {
		return record, document, true, nil
	}
	if document.Generation != change.Base {
		return ChangeRecord{}, document, true, newConflict(document, change)
	}
	record, next, data, err := c.prepareDocument(document, change)
	if err != nil {
		return ChangeRecord{}, nil, true, err
	}
	if err := faultpoint.Reach(ctx, c.Faults, faultpoint.ChangeWrite, change.ID); err != nil {
		return ChangeRecord{}, nil, false, err
	}
	*written = true
	if _, err := c.Store.Swap(ctx, Key, value.Revision, data, 0); err != nil {
		if errors.Is(err, errkind.StoreUnavailable) {
			*written = false
		}
		return ChangeRecord{}, nil, false, err
	}
	if err := faultpoint.Reach(ctx, c.Faults, faultpoint.ChangeSwap, change.ID); err != nil {
		return ChangeRecord{}, nil, false, err
	}
	return record, next, true, nil
}

// prepareDocument compiles the changed tree and returns the change's record, the
// new document and its encoding.
func (c *Committer) prepareDocument(document *Document, change Change) (ChangeRecord, *Document, []byte, error) {
	before := document.Tree()
	after := change.Apply(before)
	generation := document.Generation + 1
	if _, err := after.Compile(generation); err != nil {
		return ChangeRecord{}, nil, nil, err
	}
	record := ChangeRecord{
		ID: change.ID, Author: change.Author, Generation: generation,
		Unix: c.WallTime().Unix(), Edits: settings.Diff(before, after),
	}
	next := &Document{Generation: generation, Branches: after.Branches()}
	next.Changes = append(next.Changes, document.Changes...)
	next.Changes = append(next.Changes, record)
	if surplus := len(next.Changes) - maxRecordedChanges; surplus > 0 {
		next.Changes = next.Changes[surplus:]
	}
	for i := range next.Changes[:len(next.Changes)-1] {
		next.Changes[i].Edits = truncateEdits(next.Changes[i].Edits)
	}
	data, err := next.Encode()
	return record, next, data, err
}

// maxRecordedEdits bounds the recorded edits of each change but the last.
const maxRecordedEdits = 20

func truncateEdits(edits []settings.Change) []settings.Change {
	return edits[:min(len(edits), maxRecordedEdits)]
}

// newConflict returns an error of kind Conflict that lists the edits committed
// since the change's base.
func newConflict(document *Document, change Change) error {
	laterEdits := ""
	for _, record := range document.Changes {
		if record.Generation <= change.Base {
			continue
		}
		for _, edit := range record.Edits {
			laterEdits += "; " + record.Author + " set /" + edit.Path + " " + edit.Key + "=" + edit.After
		}
	}
	return errkind.New(errkind.Conflict, "committing the settings change: generation %d is stored, but the change is based on %d%s", document.Generation, change.Base, laterEdits)
}

// Current holds the active settings of a node. Their generation only increases.
// It is safe for concurrent use; reads take no lock.
type Current struct {
	mutex    sync.Mutex // serializes InstallIfNewer
	active   atomic.Pointer[activeGeneration]
	onChange func(*settings.Compiled)
}

// activeGeneration holds one generation as document, compiled and encoded.
type activeGeneration struct {
	document *Document
	compiled *settings.Compiled
	// encoded encodes the document on first use and caches the result.
	encoded func() ([]byte, error)
}

func newActiveGeneration(document *Document, compiled *settings.Compiled) *activeGeneration {
	return &activeGeneration{document: document, compiled: compiled, encoded: sync.OnceValues(document.Encode)}
}

// NewCurrent returns a Current with the document active. It calls onChange, which
// may be nil, after each later activation, in order and one call at a time. The
// error is of kind InvalidSettings if the document does not compile.
func NewCurrent(document *Document, onChange func(*settings.Compiled)) (*Current, error) {
	compiled, err := document.Tree().Compile(document.Generation)
	if err != nil {
		return nil, err
	}
	current := &Current{onChange: onChange}
	current.active.Store(newActiveGeneration(document, compiled))
	return current, nil
}

// Compiled returns the active settings.
func (c *Current) Compiled() *settings.Compiled { return c.active.Load().compiled }

// Document returns the active document. It must not be changed.
func (c *Current) Document() *Document { return c.active.Load().document }

// EncodedIfNewer returns the stored form of the active document if its generation
// is higher than the given one, and nil otherwise. The result must not be changed.
func (c *Current) EncodedIfNewer(generation uint64) ([]byte, error) {
	active := c.active.Load()
	if active.document.Generation <= generation {
		return nil, nil
	}
	return active.encoded()
}

// InstallIfNewer activates the document if its generation is higher than the
// active one, and reports whether it did. The error is of kind InvalidSettings if
// the document does not compile; the active one then stays active.
func (c *Current) InstallIfNewer(document *Document) (bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if document.Generation <= c.Document().Generation {
		return false, nil
	}
	compiled, err := document.Tree().Compile(document.Generation)
	if err != nil {
		return false, err
	}
	c.active.Store(newActiveGeneration(document, compiled))
	if c.onChange != nil {
		c.onChange(compiled)
	}
	return true, nil
}
