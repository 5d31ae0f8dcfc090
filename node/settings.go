package node

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/thornwalk/thornwalk/coordination/limits"
	"github.com/thornwalk/thornwalk/coordination/placement"
	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/internal/wait"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// maxWatchTime bounds one watch of the store; the settings are read after it.
	maxWatchTime = 20 * time.Second
	// storeRetryInterval is the time between attempts while the store fails.
	storeRetryInterval = 500 * time.Millisecond
	// delegateCheckInterval is the time between checks whether the node is a delegate.
	delegateCheckInterval = 500 * time.Millisecond
)

// settingsPull requests settings of a generation above that of the sender.
type settingsPull struct {
	Generation uint64 `msgpack:"h"`
}

// settingsReply carries the active document, or none if it is not newer.
type settingsReply struct {
	Document []byte `msgpack:"d"`
}

// settingsLoop reads the settings from the store once, and watches them while the
// node is a delegate of its zone.
func (n *Node) settingsLoop() {
	revision := int64(0)
	first := true
	for n.ctx.Err() == nil {
		n.mutex.Lock()
		watching := n.isDelegate()
		n.mutex.Unlock()
		var err error
		switch {
		case first:
			revision, err = n.readSettings()
			first = err != nil
		case watching:
			revision, err = n.watchSettings(revision)
		default:
			wait.Sleep(n.ctx, delegateCheckInterval)
		}
		n.storeHealthy.Store(err == nil)
		if err != nil && !wait.Sleep(n.ctx, storeRetryInterval) {
			return
		}
	}
}

func (n *Node) readSettings() (int64, error) {
	value, err := n.deps.Store.Get(n.ctx, settingsync.Key)
	if err != nil {
		return 0, err
	}
	n.installReceived(value.Data)
	return value.Revision, nil
}

// watchSettings waits for a change after the revision, for at most maxWatchTime,
// and returns the revision that it has applied.
func (n *Node) watchSettings(revision int64) (int64, error) {
	ctx, cancel := context.WithTimeout(n.ctx, maxWatchTime)
	defer cancel()
	n.group.Go(func() { n.cancelWatchUnlessDelegate(ctx, cancel) })
	value, err := n.deps.Store.Watch(ctx, settingsync.Key, revision)
	if ctx.Err() != nil {
		// The watch may have failed silently; reading applies any missed change.
		return n.readSettings()
	}
	if err != nil {
		return revision, err
	}
	n.installReceived(value.Data)
	return value.Revision, nil
}

// cancelWatchUnlessDelegate cancels a watch once the node is no longer a delegate. A
// starting node knows no other members and counts itself as one.
func (n *Node) cancelWatchUnlessDelegate(ctx context.Context, cancel context.CancelFunc) {
	for wait.Sleep(ctx, delegateCheckInterval) {
		n.mutex.Lock()
		watching := n.isDelegate()
		n.mutex.Unlock()
		if !watching {
			cancel()
			return
		}
	}
}

// installReceived activates settings from the store or a peer if they are newer.
// Invalid settings are logged and ignored.
func (n *Node) installReceived(data []byte) {
	if len(data) == 0 {
		return
	}
	document, err := settingsync.Decode(data)
	if err == nil {
		_, err = n.settings.InstallIfNewer(document)
	}
	if err != nil {
		klog.ErrorS(err, "received settings rejected", "node", n.config.Name, "in_force", n.settings.Compiled().Generation)
		n.count("settings.refused")
	}
}

// pullSettings pulls the settings from a peer in the background. While one pull is
// in progress it does nothing, since pulls share the links with heartbeats.
func (n *Node) pullSettings(address string) {
	if !n.pullingSettings.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.pullingSettings.Store(false)
		n.pullSettingsFrom(address)
	}()
}

func (n *Node) pullSettingsFrom(address string) {
	if err := faultpoint.Reach(n.ctx, n.deps.Faults, faultpoint.ChangeSpread, n.config.Name); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, peerCallTimeout)
	defer cancel()
	var reply settingsReply
	message := settingsPull{Generation: n.settings.Compiled().Generation}
	if err := n.peers.Call(ctx, address, peerwire.KindSettingsPull, &message, &reply); err == nil {
		n.installReceived(reply.Document)
	}
}

func (n *Node) serveSettingsPull(_ context.Context, message *settingsPull) (*settingsReply, error) {
	data, err := n.settings.EncodedIfNewer(message.Generation)
	return &settingsReply{Document: data}, err
}

// Change commits a change of the settings to the store and activates it on this
// node. Errors are those of settingsync.Committer.Commit.
func (n *Node) Change(ctx context.Context, change settingsync.Change) (settingsync.ChangeRecord, error) {
	record, document, err := n.settingsCommitter.Commit(ctx, change)
	if err != nil {
		if document != nil && errors.Is(err, errkind.Conflict) {
			_, _ = n.settings.InstallIfNewer(document) // the conflicting document may be newer than the active one
		}
		return record, err
	}
	if _, err := n.settings.InstallIfNewer(document); err != nil {
		return record, err
	}
	return record, nil
}

func (n *Node) serveLimitDemand(_ context.Context, report *limits.Report) (*limits.Grant, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	grant := n.allocateLimits(*report)
	return &grant, nil
}

// placementLoop runs the placement coordinators of the services for which this node
// is the first candidate.
func (n *Node) placementLoop() {
	coordinators := map[string]*placement.Coordinator{}
	for wait.Sleep(n.ctx, placement.RenewInterval) {
		for _, service := range n.settings.Compiled().Services() {
			if len(n.settings.Compiled().Models(service)) == 0 {
				continue
			}
			coordinator, known := coordinators[service]
			if !known {
				coordinator = n.newCoordinator(service)
				coordinators[service] = coordinator
			}
			n.mutex.Lock()
			candidate := rendezvous.Top(n.table.LiveNames(), rendezvous.Hash("placement/"+service), 1)[0] == n.config.Name
			n.mutex.Unlock()
			if candidate {
				coordinator.Step(n.ctx)
			}
		}
	}
}

func (n *Node) newCoordinator(service string) *placement.Coordinator {
	return &placement.Coordinator{
		Store: n.deps.Store, Sender: n.adapter, Zone: n.config.Zone, Service: service, Node: n.config.Name,
		Now: n.now, ClusterState: func() placement.ClusterState { return n.placementState(service) }, Faults: n.deps.Faults,
		Log: func(order placement.Order, err error) {
			n.count("placement.orders")
			if n.deps.LogDecisions {
				klog.InfoS("placement", "node", n.config.Name, "service", service, "replica", order.Replica.ID, "model", order.Model, "fence", order.Fence, "error", errorText(err))
			}
		},
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// placementState returns the demands of the service's models and the state of its
// engines in the zone.
func (n *Node) placementState(service string) placement.ClusterState {
	compiled := n.settings.Compiled()
	cluster := placement.ClusterState{ReadRate: compiled.Node.WeightReadRate}
	for _, model := range compiled.Models(service) {
		cluster.Demands = append(cluster.Demands, placement.Demand{Model: model.Name, Replicas: model.Values.Replicas})
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, state := range n.scheduler.View().Pool(service).States {
		if state.Replica.Zone == n.config.Zone && state.Replica.Kind == structs.KindEngine && state.HasReport {
			cluster.Engines = append(cluster.Engines, placement.Engine{Replica: state.Replica, Models: state.Report.Models, Running: state.Report.Running})
		}
	}
	return cluster
}
