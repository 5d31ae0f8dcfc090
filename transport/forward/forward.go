// Package forward carries the bytes of a connection between a node and a replica through a peer of the
// node. Towards the replica they are unchanged. Towards the node they are in blocks with a length of four
// bytes in big-endian order, because the end of the node's connection alone does not show whether the
// replica ended its response or the peer failed.
//
// Guarantees:
//   - A read on the node's side returns io.EOF only if the replica closed its connection in order, whichever direction of
//     the forwarder is told of a reset.
//   - When the node closes its connection, the replica's connection is closed; when the node resets it, or
//     it breaks, the replica's connection is reset.
//   - Each direction holds at most one buffer of bytes, so that a slow reader holds back the sender.
package forward

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/transport/answerend"
	"github.com/thornwalk/thornwalk/transport/network"
)

const (
	// lengthBytes is the size of a block's length, and maxBlockBytes the size of its content at most.
	lengthBytes   = 4
	maxBlockBytes = 16 << 10
	// requestBufferBytes is the size of the buffer towards the replica.
	requestBufferBytes = 8 << 10
	// endOfResponses is the length that marks that the replica closed its connection, and
	// replicaBroken the one that marks that the connection to the replica broke.
	endOfResponses = 0
	replicaBroken  = 1<<32 - 1
	// closeTimeout is how long the forwarder waits until the node closes its connection after the end
	// of the replica's. Closing it earlier could destroy bytes that the node has not read.
	closeTimeout = time.Second
)

// ErrForwarderLost is the error of reads after the forwarder or the connection to it failed. Nothing is
// known then of the replica.
var ErrForwarderLost = errors.New("read from replica: the connection to the forwarding peer broke")

// Splice forwards bytes between the node's connection and the replica's until one of them ends, and closes
// both.
func Splice(node, replica net.Conn) {
	// Each connection is read and written at the same time, so either direction may be told of its reset.
	node, replica = answerend.NewConn(node), answerend.NewConn(replica)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := forwardRequests(node, replica); err != io.EOF {
			// What the node has given up must not reach the replica any more.
			network.ResetOnClose(replica)
		}
		_ = replica.Close()
	}()
	if forwardResponses(node, replica) == nil {
		_ = node.SetReadDeadline(time.Now().Add(closeTimeout))
	} else {
		_ = node.Close()
	}
	<-done
	_ = node.Close()
}

// forwardRequests copies bytes to the replica until the node's connection ends, and returns io.EOF if the node
// closed it. If the replica takes no more, the rest is discarded, as the replica's response may still be on its way
// to the node.
func forwardRequests(node io.Reader, replica io.Writer) error {
	buffer := make([]byte, requestBufferBytes)
	isAccepting := true
	for {
		count, err := node.Read(buffer)
		if count > 0 && isAccepting {
			_, writeErr := replica.Write(buffer[:count])
			isAccepting = writeErr == nil
		}
		if err != nil {
			return err
		}
	}
}

// forwardResponses copies blocks to the node until the replica's connection ends, and marks how it ended.
// It returns an error if the node's connection failed or the replica's did not end properly.
func forwardResponses(node io.Writer, replica io.Reader) error {
	buffer := make([]byte, lengthBytes+maxBlockBytes)
	for {
		count, err := replica.Read(buffer[lengthBytes:])
		if count > 0 {
			binary.BigEndian.PutUint32(buffer, uint32(count))
			if _, writeErr := node.Write(buffer[:lengthBytes+count]); writeErr != nil {
				return writeErr
			}
		}
		if err == nil {
			continue
		}
		mark := uint32(endOfResponses)
		if err != io.EOF {
			mark = replicaBroken
		}
		_, writeErr := node.Write(binary.BigEndian.AppendUint32(nil, mark))
		if err == io.EOF {
			err = nil
		}
		return errors.Join(err, writeErr)
	}
}

// Conn is the node's side of a forwarded connection.
type Conn struct {
	network.Wrapped
	reader *bufio.Reader
	// left is the number of unread bytes of the current block.
	left int
	// ended is the error of further reads once the replica's connection has ended.
	ended error
}

// NewConn returns the node's side of a forwarded connection over the established connection to the peer.
func NewConn(connection net.Conn) *Conn {
	return &Conn{Wrapped: network.Wrapped{Conn: connection}, reader: bufio.NewReader(connection)}
}

// Read implements net.Conn. Its error is io.EOF if the replica closed its connection, ECONNRESET if that
// broke, and ErrForwarderLost if the connection to the peer did.
func (c *Conn) Read(into []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	if len(into) == 0 {
		return 0, nil
	}
	if c.left == 0 {
		if err := c.readLength(); err != nil {
			return 0, err
		}
	}
	count, err := c.reader.Read(into[:min(len(into), c.left)])
	c.left -= count
	return count, c.readError(err)
}

// readLength reads the length of the next block.
func (c *Conn) readLength() error {
	var header [lengthBytes]byte
	// A deadline may interrupt the read, which must not lose a part of the length.
	if _, err := c.reader.Peek(lengthBytes); err != nil {
		return c.readError(err)
	}
	_, _ = io.ReadFull(c.reader, header[:])
	switch length := binary.BigEndian.Uint32(header[:]); {
	case length == endOfResponses:
		c.ended = io.EOF
	case length == replicaBroken:
		c.ended = syscall.ECONNRESET
	case length > maxBlockBytes:
		c.ended = errkind.New(errkind.BadFrame, "read from forwarding peer: length %d exceeds %d", length, maxBlockBytes)
	default:
		c.left = int(length)
	}
	return c.ended
}

// readError returns the error of Read for an error of the connection to the peer.
func (c *Conn) readError(err error) error {
	var timeout net.Error
	switch {
	case err == nil, errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, net.ErrClosed):
		return err
	}
	c.ended = errors.Join(ErrForwarderLost, err)
	return c.ended
}

// Buffered returns the number of bytes that can be read without blocking, lengths included.
func (c *Conn) Buffered() int { return c.left + c.reader.Buffered() }
