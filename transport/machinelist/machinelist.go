// Package machinelist is the adapter to the platform's machine list, a JSON
// document over HTTP.
package machinelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/thornwalk/thornwalk/platform"
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

// Client implements platform.MachineList.
type Client struct {
	sender  oneshot.Sender
	address string
}

// New returns a client of the list at the address.
func New(network network.Network, address string) *Client {
	return &Client{sender: oneshot.Sender{Network: network}, address: address}
}

// Machines implements platform.MachineList. The error is of kind StoreUnavailable.
func (c *Client) Machines(ctx context.Context) ([]platform.Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+Path, nil)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err)
	}
	response, err := c.sender.Send(ctx, c.address, request)
	if err != nil {
		return nil, errkind.New(errkind.StoreUnavailable, "machine list: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errkind.New(errkind.StoreUnavailable, "machine list: status %d", response.StatusCode)
	}
	var machines []platform.Machine
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumList)).Decode(&machines); err != nil {
		return nil, errkind.New(errkind.StoreUnavailable, "machine list does not parse: %v", err)
	}
	return machines, nil
}
