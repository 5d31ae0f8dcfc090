package entry

import (
	"bytes"

	"github.com/thornwalk/thornwalk/state/memorybudget"
)

// eventBuffer holds what arrived of a stream and is not sent on yet.
type eventBuffer struct {
	content []byte
	// scanned is the number of bytes in which no event ends.
	scanned int
	// memory has reserved bytes for content and the copy of its events.
	memory   *memorybudget.Account
	reserved int64
	maxBytes int
}

const (
	// copiesOfEvents is how often the bytes of an event are held at once.
	copiesOfEvents = 2
	// maxKeptBufferBytes is the size up to which the buffer is kept for the next events.
	maxKeptBufferBytes = 64 << 10
)

// add appends bytes. The error is memorybudget.ErrEvicted if there is no memory for them.
func (b *eventBuffer) add(received []byte) error {
	needed := len(b.content) + len(received)
	if needed > cap(b.content) {
		larger := make([]byte, len(b.content), max(2*cap(b.content), needed))
		if cap(larger) > freeHeldBytes {
			extra := int64(cap(larger))*copiesOfEvents - b.reserved
			if err := b.memory.Reserve(extra); err != nil {
				return err
			}
			b.reserved += extra
		}
		copy(larger, b.content)
		b.content = larger
	}
	b.content = append(b.content, received...)
	return nil
}

// completeEvents returns the complete events at the start of the buffer. They are valid until the next change of it.
func (b *eventBuffer) completeEvents() []byte {
	start := max(b.scanned-len(eventEndCRLF)+1, 0)
	end := completeEventsLength(b.content[start:])
	b.scanned = len(b.content)
	if end == 0 {
		return nil
	}
	return b.content[:start+end]
}

// discard removes bytes from the start of the buffer.
func (b *eventBuffer) discard(count int) {
	rest := b.content[count:]
	b.scanned = 0
	if cap(b.content) > maxKeptBufferBytes && len(rest) <= freeHeldBytes {
		b.memory.Release(b.reserved)
		b.content, b.reserved = bytes.Clone(rest), 0
		return
	}
	b.content = append(b.content[:0], rest...)
}

// isTooLong reports whether the event that is not complete is longer than allowed.
func (b *eventBuffer) isTooLong() bool { return len(b.content) > b.maxBytes }
