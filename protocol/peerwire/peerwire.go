// Package peerwire defines the frames that nodes exchange over a connection. A
// frame is a length of four bytes in big-endian order and an envelope in
// msgpack. Replies are matched to requests by call number.
package peerwire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/msgpackcheck"
)

// MaxFrameBytes bounds the encoded envelope of a frame; a longer one ends the
// connection.
const MaxFrameBytes = 4 << 20

// Kind is the type of a message.
type Kind uint8

// The kinds of messages. Their numbers are part of the protocol and are never reused.
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
	KindAssign
	KindFinish
	KindUpdates
	KindFirstEvent
	KindConfigurationParts
	KindPoisonRecords
	KindTenantReport
	KindForward
	KindForwarders
	KindStreamOrigins
	KindStreamOrigin
	kindEnd
)

var kindNames = map[Kind]string{
	KindHeartbeat: "heartbeat", KindProbe: "probe", KindSettingsPull: "settings-pull",
	KindFloorDemand: "floor-demand", KindFloorSet: "floor-set", KindLimitDemand: "limit-demand",
	KindRegister: "register", KindRegistryUpdate: "registry-update", KindRegistryLookup: "registry-lookup",
	KindJoin: "join", KindClaim: "claim", KindAssign: "place", KindFinish: "finish", KindUpdates: "news", KindFirstEvent: "begun",
	KindConfigurationParts: "configuration-parts", KindPoisonRecords: "contents", KindTenantReport: "tenants", KindForward: "forward", KindForwarders: "forwarders",
	KindStreamOrigins: "stream-origins", KindStreamOrigin: "stream-origin",
}

// String returns the name of the kind for metrics and logs.
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

	// Call is the number of the request on its connection; its reply has the same.
	Call uint64
	Kind Kind
	// Reply reports whether this is the reply to a call.
	Reply bool
	// Code and Detail are set if the call failed; Code is that of an errkind.Kind.
	Code   string
	Detail string
	Body   msgpack.RawMessage
}

// WriteFrame writes the envelope as one frame and returns the bytes written. An
// envelope that can't be encoded or is too long is an error of kind BadFrame.
func WriteFrame(writer io.Writer, envelope *Envelope) (int, error) {
	var buffer bytes.Buffer
	buffer.Write([]byte{0, 0, 0, 0})
	if err := compactEncoder(&buffer).Encode(envelope); err != nil {
		return 0, errkind.Wrap(errkind.BadFrame, err)
	}
	length := buffer.Len() - lengthBytes
	if length > MaxFrameBytes {
		return 0, errkind.New(errkind.BadFrame, "write frame: %d bytes exceed the limit of %d", length, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buffer.Bytes(), uint32(length))
	return writer.Write(buffer.Bytes())
}

const lengthBytes = 4

// ReadFrame reads one frame and returns its size in bytes. The error is io.EOF
// if the connection ended between frames, a read error if it failed within the
// length, and of kind BadFrame if the length or the envelope is invalid or the
// envelope is truncated. After any error the connection must be closed.
func ReadFrame(reader io.Reader) (*Envelope, int, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, 0, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 || length > MaxFrameBytes {
		return nil, 0, errkind.New(errkind.BadFrame, "read frame: length %d is not in 1 to %d", length, MaxFrameBytes)
	}
	// The buffer grows with the data received, so that a wrong length allocates nothing.
	var content bytes.Buffer
	if _, err := io.CopyN(&content, reader, int64(length)); err != nil {
		return nil, 0, errkind.New(errkind.BadFrame, "read frame: ends after %d of %d bytes", content.Len(), length)
	}
	envelope := &Envelope{}
	if err := msgpackcheck.Unmarshal(content.Bytes(), envelope); err != nil {
		return nil, 0, errkind.Wrap(errkind.BadFrame, err)
	}
	if envelope.Kind == 0 || envelope.Kind >= kindEnd {
		return nil, 0, errkind.New(errkind.BadFrame, "read frame: unknown message kind %d", envelope.Kind)
	}
	return envelope, int(length) + lengthBytes, nil
}

// Marshal encodes a message body; the error is of kind BadFrame.
func Marshal(message any) (msgpack.RawMessage, error) {
	var buffer bytes.Buffer
	err := compactEncoder(&buffer).Encode(message)
	return buffer.Bytes(), errkind.Wrap(errkind.BadFrame, err)
}

// compactEncoder returns an encoder that writes integers in as few bytes as
// their values need.
func compactEncoder(writer io.Writer) *msgpack.Encoder {
	encoder := msgpack.NewEncoder(writer)
	encoder.UseCompactInts(true)
	return encoder
}

// Unmarshal decodes a message body; the error is of kind BadFrame.
func Unmarshal(body msgpack.RawMessage, message any) error {
	return errkind.Wrap(errkind.BadFrame, msgpack.Unmarshal(body, message))
}
