package node

import (
	"crypto/tls"
	"math/rand/v2"
	"time"

	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Config is what a node learns from its own settings: who and where it is.
// Everything else comes from the settings tree.
type Config struct {
	Name string
	Zone string
	// CallerListen, OperatorListen and PeerListen are addresses to listen at;
	// port 0 chooses a free one.
	CallerListen, OperatorListen, PeerListen string
	// CallerAdvertise and PeerAdvertise are told to others; empty means the
	// addresses that are listened at.
	CallerAdvertise, PeerAdvertise string
	// ReceiptKeys seal receipts and tickets; all nodes share them. The first
	// seals, all open.
	ReceiptKeys [][]byte
	// OperatorToken is the bearer token of operators; empty closes the
	// operators' interface.
	OperatorToken string
	// CallerTLS and PeerTLS are nil for plain connections.
	CallerTLS, PeerTLS *tls.Config
	// InitialSettings is in force until a higher generation is heard of; nil
	// means an empty tree, with which the node is not ready.
	InitialSettings *settingsync.Document
	// DrainGrace is the time between announcing a planned stop and refusing
	// new requests, in which the balancer learns of it.
	DrainGrace time.Duration
}

// minimumKey is the least length of the receipt key, in bytes.
const minReceiptKeyBytes = 16

// Validate returns an error of kind InvalidSettings that names the fault.
func (c *Config) Validate() error {
	switch {
	case c.Name == "":
		return errkind.New(errkind.InvalidSettings, "name is empty: give each node a name of its own")
	case c.Zone == "":
		return errkind.New(errkind.InvalidSettings, "zone is empty: name the zone that the machine stands in")
	case len(c.ReceiptKeys) == 0:
		return errkind.New(errkind.InvalidSettings, "there is no receipt key: share one among all nodes")
	}
	for _, key := range c.ReceiptKeys {
		if len(key) < minReceiptKeyBytes {
			return errkind.New(errkind.InvalidSettings, "a receipt key has %d bytes: use at least %d", len(key), minReceiptKeyBytes)
		}
	}
	return nil
}

// Dependencies are the outside of a node. Tests bring their own.
type Dependencies struct {
	Network  network.Network
	Store    outside.Store
	Machines outside.MachineList
	// WallTime is used for dates only, never for leases or deadlines.
	WallTime func() time.Time
	Random   *rand.Rand
	Faults   faultpoint.Injector
	// StartMilliseconds numbers the process; it must rise with each start of
	// the node's name. Zero means the wall time at the start.
	StartMilliseconds int64
	// LogDecisions is false to keep decisions in memory only.
	LogDecisions bool
}
