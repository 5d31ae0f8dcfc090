package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/thornwalk/thornwalk/platform"
)

// balance asks each node once a second whether it is ready. After two misses a node gets no new connections
// until it answers 200 again.
func (r *caseRun) balance(stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, node := range r.nodes {
			go node.ask(client)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (n *node) ask(client *http.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.run.address(n.number, readinessPort)+platform.ReadyPath, nil)
	response, err := client.Do(request)
	isReady := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	wasIn := n.isIn
	if isReady {
		n.misses, n.isIn = 0, true
	} else if n.misses++; n.misses >= 2 {
		n.isIn = false
	}
	if wasIn != n.isIn {
		n.run.record.write("balancer: %s takes new connections: %v", n.name, n.isIn)
	}
}

// inNodes returns the nodes of the zone that take new connections; an empty zone stands for all zones.
func (r *caseRun) inNodes(zone string) []*node {
	var found []*node
	for _, node := range r.nodes {
		node.mutex.Lock()
		isIn := node.isIn
		node.mutex.Unlock()
		if isIn && (zone == "" || node.zone == zone) {
			found = append(found, node)
		}
	}
	return found
}

// choose returns the node that the balancer passes a new connection of the zone's clients to: one that is in; any
// if fewer than half of the zone's nodes are in; one of the other zones if none is.
func (r *caseRun) choose(zone string) *node {
	var all []*node
	for _, node := range r.nodes {
		if node.zone == zone {
			all = append(all, node)
		}
	}
	in := r.inNodes(zone)
	switch {
	case len(in) == 0:
		in = r.inNodes("")
	case 2*len(in) < len(all):
		in = all
	}
	if len(in) == 0 {
		in = r.nodes
	}
	return in[rand.IntN(len(in))]
}
