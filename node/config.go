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

// Config is the configuration of one node: its name, addresses and keys. All
// other settings come from the settings tree.
type Config struct {
	Name string
	Zone string
	// CallerListen, OperatorListen and PeerListen are the addresses to listen on;
	// port 0 selects a free port.
	CallerListen, OperatorListen, PeerListen string
	// CallerAdvertise and PeerAdvertise are the announced addresses; empty means
	// the address of the listener.
	CallerAdvertise, PeerAdvertise string
	// ReceiptKeys are the keys of receipts and tickets, shared by all nodes. The
	// first seals, all open.
	ReceiptKeys [][]byte
	// OperatorToken is the bearer token of operators; if it is empty, every
	// operator request is rejected.
	OperatorToken string
	// CallerTLS and PeerTLS are nil for plain connections.
	CallerTLS, PeerTLS *tls.Config
	// InitialSettings is active until a higher generation is received; nil means
	// an empty tree, with which the node is not ready.
	InitialSettings *settingsync.Document
	// DrainGrace is the time between the announcement of a planned stop and the
	// rejection of new requests; the load balancer reacts within it.
	DrainGrace time.Duration
}

const minReceiptKeyBytes = 16

// Validate returns an error of kind InvalidSettings that names the invalid field.
func (c *Config) Validate() error {
	switch {
	case c.Name == "":
		return errkind.New(errkind.InvalidSettings, "name is empty: give each node a unique name")
	case c.Zone == "":
		return errkind.New(errkind.InvalidSettings, "zone is empty: set the zone of the machine")
	case len(c.ReceiptKeys) == 0:
		return errkind.New(errkind.InvalidSettings, "receipt keys are missing: set at least one that all nodes share")
	}
	for _, key := range c.ReceiptKeys {
		if len(key) < minReceiptKeyBytes {
			return errkind.New(errkind.InvalidSettings, "receipt key has %d bytes: use at least %d", len(key), minReceiptKeyBytes)
		}
	}
	return nil
}

// Dependencies connect a node to its environment; tests supply their own.
type Dependencies struct {
	Network  network.Network
	Store    outside.Store
	Machines outside.MachineList
	// WallTime is used for timestamps only, never for leases or deadlines.
	WallTime func() time.Time
	Random   *rand.Rand
	Faults   faultpoint.Injector
	// StartMilliseconds identifies the process; it must increase with each start
	// of a node of the same name. 0 means the wall time of the first use.
	StartMilliseconds int64
	// LogDecisions also writes scheduling decisions to the log; they are always kept
	// in memory.
	LogDecisions bool
}
