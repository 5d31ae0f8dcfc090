// Command thornwalkd is the daemon that an entry machine runs. 'thornwalkd entry' runs package
// entry with a settings file. Without a subcommand it runs package node, whose addresses and keys
// come from flags, environment variables or a YAML file and all other settings from the store.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffyaml"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/node"
	"github.com/thornwalk/thornwalk/transport/etcdstore"
	"github.com/thornwalk/thornwalk/transport/keys"
	"github.com/thornwalk/thornwalk/transport/machinelist"
	"github.com/thornwalk/thornwalk/transport/network"
)

// flags are the settings of one process; all others are in the settings tree.
type flags struct {
	name, zone                                string
	callers, operators, peers                 string
	advertiseCallers, advertisePeers          string
	store, machines                           string
	storeTimeout, drainGrace                  time.Duration
	receiptKeys, operatorToken                string
	callerCertificate, callerKey              string
	peerCertificate, peerKey, peerAuthorities string
	verbosity                                 int
	logDecisions                              bool
}

func main() {
	if err := dispatch(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "thornwalkd:", err)
		os.Exit(1)
	}
}

// dispatch runs the subcommand that the first argument names; the default is runNode.
func dispatch(arguments []string) error {
	if len(arguments) == 0 {
		return runNode(arguments)
	}
	switch arguments[0] {
	case "entry":
		return runEntryCommand(arguments[1:], os.Stdout)
	case "version":
		return printVersion(os.Stdout)
	default:
		return runNode(arguments)
	}
}

func parseFlags(arguments []string) (*flags, error) {
	f := &flags{}
	set := flag.NewFlagSet("thornwalkd", flag.ContinueOnError)
	set.StringVar(&f.name, "name", "", "name of the node, unique over all zones")
	set.StringVar(&f.zone, "zone", "", "zone that the machine stands in")
	set.StringVar(&f.callers, "callers", ":8080", "address to serve callers at")
	set.StringVar(&f.operators, "operators", "127.0.0.1:8081", "address to serve operators at")
	set.StringVar(&f.peers, "peers", ":8082", "address to serve other nodes at")
	set.StringVar(&f.advertiseCallers, "advertise-callers", "", "callers' address as others reach it; default: as listened at")
	set.StringVar(&f.advertisePeers, "advertise-peers", "", "peers' address as others reach it; default: as listened at")
	set.StringVar(&f.store, "store", "", "address of the platform's key-value service")
	set.StringVar(&f.machines, "machines", "", "address of the platform's machine list")
	set.DurationVar(&f.storeTimeout, "store-timeout", 2*time.Second, "time after which a call of the store is given up")
	set.DurationVar(&f.drainGrace, "drain-grace", 5*time.Second, "time between announcing a planned stop and refusing requests")
	set.StringVar(&f.receiptKeys, "receipt-keys", "", "file of secret keys for receipts, one a line, the newest first")
	set.StringVar(&f.operatorToken, "operator-token", "", "file of the operators' bearer token")
	set.StringVar(&f.callerCertificate, "caller-certificate", "", "PEM file of the certificate for callers; none: plain HTTP")
	set.StringVar(&f.callerKey, "caller-key", "", "PEM file of its key")
	set.StringVar(&f.peerCertificate, "peer-certificate", "", "PEM file of the certificate for other nodes; none: plain TCP")
	set.StringVar(&f.peerKey, "peer-key", "", "PEM file of its key")
	set.StringVar(&f.peerAuthorities, "peer-authorities", "", "PEM file of the authorities of the nodes' certificates")
	set.IntVar(&f.verbosity, "v", 0, "verbosity of the log, 0 to 2")
	set.BoolVar(&f.logDecisions, "log-decisions", true, "log a JSON line for each routing and placement decision")
	set.String("config", "", "YAML file with any of these")
	err := ff.Parse(set, arguments, ff.WithEnvVarPrefix("THORNWALKD"), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ffyaml.Parser))
	return f, err
}

// runNode runs the daemon of package node, whose settings tree is in the store.
func runNode(arguments []string) error {
	f, err := parseFlags(arguments)
	if err != nil {
		return err
	}
	if err := logging.ToJSON(os.Stderr, f.verbosity); err != nil {
		return err
	}
	config, err := f.nodeConfig()
	if err != nil {
		return err
	}
	tcp := network.TCP{}
	storeMetrics := metrics.NewRegistry()
	n, err := node.New(config, node.Dependencies{
		Network: tcp, Store: etcdstore.New(tcp, f.store, f.storeTimeout, storeMetrics), Machines: machinelist.New(tcp, f.machines),
		WallTime: time.Now, LogDecisions: f.logDecisions,
	})
	if err != nil {
		return err
	}
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	if err := n.Metrics().Register("store", storeMetrics); err != nil {
		return err
	}
	klog.InfoS("serving", "node", f.name, "zone", f.zone, "callers", n.CallerAddress(), "operators", n.OperatorAddress(), "peers", n.PeerAddress())
	return serve(n, f)
}

// serve blocks until the node has stopped. The first SIGINT or SIGTERM starts a planned stop, a
// second one ends it at once. It returns an error if requests were still in flight at the end.
func serve(n *node.Node, f *flags) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reloadReceiptKeys(ctx, n, f.receiptKeys)
	select {
	case <-signals:
	case <-n.Done():
		return nil
	}
	go func() {
		<-signals
		cancel()
	}()
	klog.InfoS("planned stop started", "node", f.name)
	if !n.Drain(ctx) {
		return fmt.Errorf("planned stop: requests were still in flight at its end; raise the setting drain_timeout")
	}
	return nil
}

// receiptKeyReloadInterval is the time between reads of the receipt key file.
const receiptKeyReloadInterval = 10 * time.Second

func reloadReceiptKeys(ctx context.Context, n *node.Node, file string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(receiptKeyReloadInterval):
		}
		secrets, err := keys.LoadSecrets(file)
		if err != nil {
			klog.ErrorS(err, "failed to reload the receipt keys; keeping the previous ones")
			continue
		}
		n.SetReceiptKeys(secrets...)
	}
}

// nodeConfig builds the node's configuration and reads the key files.
func (f *flags) nodeConfig() (node.Config, error) {
	config := node.Config{
		Name: f.name, Zone: f.zone, CallerListen: f.callers, OperatorListen: f.operators, PeerListen: f.peers,
		CallerAdvertise: f.advertiseCallers, PeerAdvertise: f.advertisePeers, DrainGrace: f.drainGrace,
	}
	var err error
	if config.ReceiptKeys, err = keys.LoadSecrets(f.receiptKeys); err != nil {
		return config, err
	}
	if f.operatorToken != "" {
		tokens, err := keys.LoadSecrets(f.operatorToken)
		if err != nil {
			return config, err
		}
		config.OperatorToken = string(tokens[0])
	}
	return config, f.addTLS(&config)
}

// addTLS configures TLS for callers and mutual TLS between nodes if their certificate flags are
// set.
func (f *flags) addTLS(config *node.Config) error {
	if f.callerCertificate != "" {
		certificate, err := keys.LoadCertificate(f.callerCertificate, f.callerKey)
		if err != nil {
			return err
		}
		config.CallerTLS = certificate.ServerConfig(nil)
	}
	if f.peerCertificate == "" {
		return nil
	}
	certificate, err := keys.LoadCertificate(f.peerCertificate, f.peerKey)
	if err != nil {
		return err
	}
	authorities, err := keys.LoadAuthorities(f.peerAuthorities)
	if err != nil {
		return err
	}
	config.PeerTLS = certificate.MutualConfig(authorities)
	return nil
}
