// Package machinelist is the adapter to the platform's machine list, a JSON
// document over HTTP.
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

// Path is where the list is served.
const Path = "/machines"

const (
	timeout     = 2 * time.Second
	maximumList = 8 << 20
)

// Client implements outside.MachineList.
type Client struct {
	sender  oneshot.Sender
	address string

	mutex sync.Mutex
	tag   string
	last  []outside.Machine
}

// New returns a client of the list at the address.
func New(network network.Network, address string) *Client {
	return &Client{sender: oneshot.Sender{Network: network}, address: address}
}

// Machines implements outside.MachineList. The error is of kind StoreUnavailable.
// A list that did not change is not sent again, if the platform gives it an
// entity tag; at the target it has 1,100 machines.
func (c *Client) Machines(ctx context.Context) ([]outside.Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+Path, nil)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err)
	}
	c.mutex.Lock()
	tag, last := c.tag, c.last
	c.mutex.Unlock()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.sender.Send(ctx, c.address, request)
	if err != nil {
		return nil, errkind.New(errkind.StoreUnavailable, "machine list: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return last, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, errkind.New(errkind.StoreUnavailable, "machine list: status %d", response.StatusCode)
	}
	var machines []outside.Machine
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumList)).Decode(&machines); err != nil {
		return nil, errkind.New(errkind.StoreUnavailable, "machine list does not parse: %v", err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.tag, c.last = response.Header.Get("ETag"), machines
	return machines, nil
}
