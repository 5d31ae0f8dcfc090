// Package machinelist is the client of the platform's machine list, a JSON document over HTTP. It
// neither polls nor retries.
package machinelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/oneshot"
)

// Path is the URL path of the list.
const Path = "/machines"

const (
	callTimeout  = 2 * time.Second
	maxListBytes = 8 << 20
)

// Client implements outside.MachineList. It is safe for concurrent use.
type Client struct {
	sender  oneshot.Sender
	address string

	mutex    sync.Mutex
	etag     string
	machines []outside.Machine
}

// New returns a client of the machine list at the address.
func New(network network.Network, address string) *Client {
	return &Client{sender: oneshot.Sender{Network: network}, address: address}
}

// Machines implements outside.MachineList. The error is of kind StoreUnavailable. If the platform
// sends an entity tag, an unchanged list is not transferred again. Callers must not modify the
// result.
func (c *Client) Machines(ctx context.Context) ([]outside.Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+Path, nil)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err)
	}
	c.mutex.Lock()
	etag, cached := c.etag, c.machines
	c.mutex.Unlock()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.sender.Send(ctx, c.address, request)
	if err != nil {
		return nil, errkind.New(errkind.StoreUnavailable, "fetch machine list: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return cached, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, errkind.New(errkind.StoreUnavailable, "fetch machine list: status %d", response.StatusCode)
	}
	var machines []outside.Machine
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&machines); err != nil {
		return nil, errkind.New(errkind.StoreUnavailable, "parse machine list: %v", err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.etag, c.machines = response.Header.Get("ETag"), machines
	return machines, nil
}
