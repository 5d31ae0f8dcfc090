// Package peerwire is the protocol between nodes: frames of msgpack over TCP.
// A frame is a length of four bytes, most significant first, and an envelope.
// Requests and replies share a connection and are matched by call number.
package peerwire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// MaximumFrame bounds a frame in bytes; a longer one ends the connection.
const MaximumFrame = 4 << 20

// Kind names the type of a message.
type Kind uint8

// The kinds of messages. Numbers are part of the protocol and never reused.
const (
	KindHeartbeat Kind = iota + 1
	KindProbe
	KindSettingsPull
	KindFloorDemand
	KindFloorSet
	KindLimitDemand
	KindRegister
	KindRegistryUpdate
	KindRegistryLookup
	KindJoin
	KindClaim
	KindPlace
	KindFinish
	KindNews
	KindBegun
	KindConfigurationParts
	KindContents
	kindEnd
)

var kindNames = map[Kind]string{
	KindHeartbeat: "heartbeat", KindProbe: "probe", KindSettingsPull: "settings-pull",
	KindFloorDemand: "floor-demand", KindFloorSet: "floor-set", KindLimitDemand: "limit-demand",
	KindRegister: "register", KindRegistryUpdate: "registry-update", KindRegistryLookup: "registry-lookup",
	KindJoin: "join", KindClaim: "claim", KindPlace: "place", KindFinish: "finish", KindNews: "news", KindBegun: "begun",
	KindConfigurationParts: "configuration-parts", KindContents: "contents",
}

// String returns the name of the kind in metrics and logs.
func (k Kind) String() string {
	if name, known := kindNames[k]; known {
		return name
	}
	return "unknown"
}

// Envelope is the content of a frame.
type Envelope struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Call matches replies to requests on one connection.
	Call uint64
	Kind Kind
	// Reply is true for the answer to a call.
	Reply bool
	// Code and Detail are set if the call failed; Code is that of an error kind.
	Code   string
	Detail string
	Body   msgpack.RawMessage
}

// WriteFrame writes the envelope as one frame.
func WriteFrame(writer io.Writer, envelope *Envelope) (int, error) {
	var buffer bytes.Buffer
	buffer.Write([]byte{0, 0, 0, 0})
	if err := compactEncoder(&buffer).Encode(envelope); err != nil {
		return 0, errkind.Wrap(errkind.BadFrame, err)
	}
	length := buffer.Len() - lengthBytes
	if length > MaximumFrame {
		return 0, errkind.New(errkind.BadFrame, "frame of %d bytes exceeds %d", length, MaximumFrame)
	}
	binary.BigEndian.PutUint32(buffer.Bytes(), uint32(length))
	return writer.Write(buffer.Bytes())
}

const lengthBytes = 4

// ReadFrame reads one frame. The error is io.EOF if the connection ended
// between frames, and otherwise of kind BadFrame for content that no correct
// peer sends; the connection is of no more use after any error.
func ReadFrame(reader io.Reader) (*Envelope, int, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, 0, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 || length > MaximumFrame {
		return nil, 0, errkind.New(errkind.BadFrame, "frame length %d is not in 1 to %d", length, MaximumFrame)
	}
	// The content is read as it comes, so that a false length costs no memory.
	var content bytes.Buffer
	if _, err := io.CopyN(&content, reader, int64(length)); err != nil {
		return nil, 0, errkind.New(errkind.BadFrame, "frame ends after %d of %d bytes", content.Len(), length)
	}
	envelope := &Envelope{}
	if err := msgpack.Unmarshal(content.Bytes(), envelope); err != nil {
		return nil, 0, errkind.Wrap(errkind.BadFrame, err)
	}
	if envelope.Kind == 0 || envelope.Kind >= kindEnd {
		return nil, 0, errkind.New(errkind.BadFrame, "unknown message kind %d", envelope.Kind)
	}
	return envelope, int(length) + lengthBytes, nil
}

// Marshal encodes a message body.
func Marshal(message any) (msgpack.RawMessage, error) {
	var buffer bytes.Buffer
	err := compactEncoder(&buffer).Encode(message)
	return buffer.Bytes(), errkind.Wrap(errkind.BadFrame, err)
}

// compactEncoder writes numbers in as few bytes as they need; load digests are
// half as long for it.
func compactEncoder(writer io.Writer) *msgpack.Encoder {
	encoder := msgpack.NewEncoder(writer)
	encoder.UseCompactInts(true)
	return encoder
}

// Unmarshal decodes a message body; the error is of kind BadFrame.
func Unmarshal(body msgpack.RawMessage, message any) error {
	return errkind.Wrap(errkind.BadFrame, msgpack.Unmarshal(body, message))
}
