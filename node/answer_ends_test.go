package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/examples"
	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/node"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/backendhttp"
)

const (
	zone         = "trakiya"
	plainService = "registar-app"
	replicaHost  = "scripted"
	callerHost   = "caller"
)

// deployment is two nodes under virtual time, an engine, and one replica of the plain service, whose answers the test
// writes byte by byte.
type deployment struct {
	*gomega.WithT
	fabric  *memnet.Fabric
	cluster *cluster.Cluster
	// serve writes an answer to a request; the connection is closed once it returns.
	serve func(connection net.Conn)
}

func runWithScriptedReplica(t *testing.T, test func(d *deployment)) {
	t.Helper()
	runWithOptions(t, func(*cluster.Options) {}, test)
}

// runWithOptions is runWithScriptedReplica with changed options of the cluster.
func runWithOptions(t *testing.T, adjust func(*cluster.Options), test func(d *deployment)) {
	t.Helper()
	logging.Discard()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := &deployment{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		tree, err := examples.Settings("agency")
		d.Expect(err).NotTo(gomega.HaveOccurred())
		engine := enginesim.Spec{Generation: "g", Accelerators: 4, Slots: 8, BaseStep: 50 * time.Millisecond, ChunkTokens: 512, CacheBlocks: 100, KVTokens: 50000}
		options := cluster.Options{
			Zones: []string{zone}, NodesPerZone: 2, EngineService: "ezik-servers", Model: "ezik", Engines: []enginesim.Spec{engine},
			PlainService: plainService, Settings: tree, Host: d.fabric.Host, ListenAddress: ":0", Seed: 1,
		}
		adjust(&options)
		d.cluster, err = cluster.Start(ctx, options)
		d.Expect(err).NotTo(gomega.HaveOccurred())
		listener, err := d.fabric.Host(replicaHost).Listen(":0")
		d.Expect(err).NotTo(gomega.HaveOccurred())
		go d.serveReplica(listener)
		d.cluster.Machines.Add(outside.Machine{Name: replicaHost, Role: "backend", Zone: zone, Replica: &structs.Replica{
			ID: replicaHost, Service: plainService, Kind: structs.KindService, Address: listener.Addr().String(), Zone: zone,
		}})
		time.Sleep(3 * time.Second) // until the nodes know the replica and its load
		defer func() {
			_ = listener.Close()
			d.cluster.Stop()
			cancel()
			time.Sleep(10 * time.Second) // lets sleeping goroutines end, since virtual time stops afterwards
		}()
		test(d)
	})
}

func (d *deployment) node(index int) *node.Node {
	return d.cluster.Node(cluster.NodeName(zone, index))
}

// serveReplica answers queries for the load, and other requests by serve.
func (d *deployment) serveReplica(listener net.Listener) {
	for sequence := uint64(1); ; sequence++ {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer connection.Close()
			request, err := http.ReadRequest(bufio.NewReader(connection))
			if err != nil {
				return
			}
			if request.URL.Path != backendhttp.PathLoad {
				d.serve(connection)
				return
			}
			report, err := json.Marshal(structs.LoadReport{Replica: replicaHost, Sequence: sequence, Slots: 64, KVFree: 1, StepTime: time.Millisecond})
			if err == nil {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			}
		}()
	}
}

// response is what a caller got: its status, or zero without a head, its body so far, and whether the body seems whole.
type response struct {
	status    int
	hasLength bool
	body      string
	isWhole   bool
}

// rawCall is a request of a caller that takes the end of the connection for the end of a response without framing.
type rawCall struct {
	// version is that of the protocol.
	version, method, path, key, lines, body string
	// meanwhile, if it is not nil, is called once the request is sent.
	meanwhile func(connection net.Conn)
}

func (d *deployment) send(index int, call rawCall) response {
	connection, err := d.fabric.Host(callerHost).Dial(context.Background(), d.node(index).CallerAddress())
	d.Expect(err).NotTo(gomega.HaveOccurred())
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "%s %s %s\r\nHost: service.example\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		call.method, call.path, call.version, call.key, call.lines, len(call.body), call.body)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	if call.meanwhile != nil {
		go call.meanwhile(connection)
	}
	got, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return response{}
	}
	body, err := io.ReadAll(got.Body)
	return response{status: got.StatusCode, hasLength: got.ContentLength >= 0, body: string(body), isWhole: err == nil}
}

func plainCall(version string) rawCall {
	return rawCall{version: version, method: http.MethodPost, path: "/services/" + plainService + "/x", key: "restaurants-key"}
}

// engineCall is a call for a stream of as many events as tokens or more, one each 50 ms, or for one completion.
func engineCall(version string, isStream bool, tokens int) rawCall {
	body := fmt.Sprintf(`{"model":"ruling","lab_output_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"May I cross?"}]}`, tokens, isStream)
	return rawCall{version: version, method: http.MethodPost, path: "/v1/chat/completions", key: "couriers-key", body: body}
}

var versions = []string{"HTTP/1.0", "HTTP/1.1"}

const (
	answerBody  = "body of the answer"
	chunkedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// wholeAnswers are answers of a replica in each framing that shows its end.
var wholeAnswers = map[string]string{
	"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(answerBody), answerBody),
	"chunks": chunkedHead + "4\r\nbody\r\ne\r\n of the answer\r\n0\r\n\r\n",
}

// Guards against an answer that is cut, in its head too, and looks whole to callers of a protocol without chunks.
func TestServiceAnswersCutAtEveryByteAreNotWhole(t *testing.T) {
	for framing, whole := range wholeAnswers {
		for _, version := range versions {
			t.Run(framing+" "+version, func(t *testing.T) {
				runWithScriptedReplica(t, func(d *deployment) {
					for length := range len(whole) + 1 {
						d.serve = func(connection net.Conn) { _, _ = io.WriteString(connection, whole[:length]) }
						got := d.send(0, plainCall(version))
						if length == len(whole) {
							d.Expect(got).To(gomega.Equal(response{status: http.StatusOK, body: answerBody, isWhole: true}))
							continue
						}
						d.Expect(got.status == http.StatusOK && got.isWhole).To(gomega.BeFalse(), "cut after %q: %q", whole[:length], got.body)
					}
				})
			})
		}
	}
}

// Guards against an answer that is cut and looks whole to a caller of a protocol without chunks whose request another node
// forwards.
func TestForwardedServiceAnswersThatAreCutAreNotWhole(t *testing.T) {
	for _, version := range versions {
		t.Run(version, func(t *testing.T) {
			runWithScriptedReplica(t, func(d *deployment) {
				for answer, isWhole := range map[string]bool{wholeAnswers["chunks"]: true, chunkedHead + "4\r\nbody\r\n": false} {
					d.serve = func(connection net.Conn) {
						_, _ = io.WriteString(connection, answer)
						time.Sleep(50 * time.Millisecond) // the caller has the head
					}
					ticket := d.send(0, rawCall{version: "HTTP/1.1", method: http.MethodPost, path: node.PathTickets, key: "restaurants-key"})
					var issued struct{ Ticket string }
					d.Expect(json.Unmarshal([]byte(ticket.body), &issued)).To(gomega.Succeed(), ticket.body)
					call := plainCall(version)
					call.lines = node.HeaderTicket + ": " + issued.Ticket + "\r\n"
					got := d.send(1, call)
					d.Expect(got.status).To(gomega.Equal(http.StatusOK))
					d.Expect(got.isWhole).To(gomega.Equal(isWhole), got.body)
				}
			})
		})
	}
}

// Guards against a stream of an engine that is reset although it is whole.
func TestWholeStreamsOfEnginesEndInAllProtocols(t *testing.T) {
	for _, version := range versions {
		runWithScriptedReplica(t, func(d *deployment) {
			got := d.send(0, engineCall(version, true, 10))
			d.Expect(got.status).To(gomega.Equal(http.StatusOK), version)
			d.Expect(got.isWhole).To(gomega.BeTrue(), version)
			d.Expect(got.body).To(gomega.HaveSuffix("data: [DONE]\n\n"), version)
		})
	}
}

// Guards against the answer of a plain service that is taken for an engine's, and lost, as its caller fetches it, at its node
// or another one, before the service has begun to answer.
func TestAnswersOfServicesAreFetchedBeforeTheyBegin(t *testing.T) {
	for name, index := range map[string]int{"its node": 0, "another node": 1} {
		t.Run(name, func(t *testing.T) {
			runWithScriptedReplica(t, func(d *deployment) {
				d.serve = func(connection net.Conn) {
					time.Sleep(500 * time.Millisecond)
					_, _ = io.WriteString(connection, wholeAnswers["length"])
				}
				first := plainCall("HTTP/1.1")
				first.lines = node.HeaderIdempotencyKey + ": k\r\n"
				answered := make(chan response)
				go func() { answered <- d.send(0, first) }()
				time.Sleep(100 * time.Millisecond)
				fetched := d.send(index, d.fetchCall("HTTP/1.1", first))
				want := response{status: http.StatusOK, body: answerBody, isWhole: true}
				d.Expect(<-answered).To(gomega.Equal(want))
				d.Expect(fetched).To(gomega.Equal(want))
			})
		})
	}
}

// fetchCall is a call at any node for the answer to the first call, which has a key and was sent to node 0.
func (d *deployment) fetchCall(version string, first rawCall) rawCall {
	found := d.send(0, rawCall{version: "HTTP/1.1", method: http.MethodGet, path: node.PathRequests, key: first.key, lines: first.lines})
	var status node.RequestStatus
	d.Expect(json.Unmarshal([]byte(found.body), &status)).To(gomega.Succeed(), found.body)
	return rawCall{version: version, method: http.MethodGet, path: node.PathRequests + "/" + status.RequestID + "/answer", key: first.key}
}

// Guards against a completion that is cut by the end of its node and looks whole to a caller of a protocol without chunks.
func TestCompletionsHaveALength(t *testing.T) {
	const tokens = 100 // more than net/http buffers, after which it can't add the length
	for _, version := range versions {
		runWithScriptedReplica(t, func(d *deployment) {
			got := d.send(0, engineCall(version, false, tokens))
			d.Expect(got.status).To(gomega.Equal(http.StatusOK), "%s: %s", version, got.body)
			d.Expect(len(got.body)).To(gomega.BeNumerically(">", 2048))
			d.Expect(got.isWhole && got.hasLength).To(gomega.BeTrue(), version)
		})
	}
}

// endlessAnswer writes a head and a chunk each 50 ms until the connection ends.
func endlessAnswer(connection net.Conn) {
	_, err := io.WriteString(connection, chunkedHead)
	for err == nil {
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(connection, "4\r\nbody\r\n")
	}
}

// silentAnswer writes nothing for longer than any caller waits in these tests.
func silentAnswer(net.Conn) { time.Sleep(5 * time.Second) }

// interruptedCalls are calls that are in progress for 200 ms at least.
func interruptedCalls(version string) map[string]rawCall {
	return map[string]rawCall{
		"stream of an engine": engineCall(version, true, 10), "completion of an engine": engineCall(version, false, 10),
		"answer of a service": plainCall(version), "silent service": plainCall(version),
	}
}

// expectInterrupted runs each interrupted call with the interruption in the middle, and expects no response that looks
// whole. A stream of an engine may also end with an event that tells the error.
func expectInterrupted(t *testing.T, interrupt func(d *deployment, connection net.Conn)) {
	for _, version := range versions {
		for name, call := range interruptedCalls(version) {
			t.Run(version+" "+name, func(t *testing.T) {
				runWithScriptedReplica(t, func(d *deployment) {
					d.serve = endlessAnswer
					if strings.HasPrefix(name, "silent") {
						d.serve = silentAnswer
					}
					call.meanwhile = func(connection net.Conn) {
						time.Sleep(175 * time.Millisecond)
						interrupt(d, connection)
					}
					got := d.send(0, call)
					tellsItself := strings.Contains(got.body, "event: error")
					d.Expect(got.status == http.StatusOK && got.isWhole && !tellsItself).To(gomega.BeFalse(), "%d bytes", len(got.body))
				})
			})
		}
	}
}

// Guards against a response that looks whole, an empty one too, as the node that writes it ends.
func TestEndedNodeLeavesNoResponseThatLooksWhole(t *testing.T) {
	for range 5 { // the handlers and the server end in any order
		expectInterrupted(t, func(d *deployment, _ net.Conn) { d.node(0).Kill() })
	}
}

// Guards against an answer that another node relays and that looks whole as the node that has it ends.
func TestRelayedAnswersOfAnEndedNodeAreNotWhole(t *testing.T) {
	for _, version := range versions {
		t.Run(version, func(t *testing.T) {
			runWithScriptedReplica(t, func(d *deployment) {
				d.serve = endlessAnswer
				first := plainCall("HTTP/1.1")
				first.lines = node.HeaderIdempotencyKey + ": k\r\n"
				ended := make(chan response)
				go func() { ended <- d.send(0, first) }()
				time.Sleep(200 * time.Millisecond)
				fetch := d.fetchCall(version, first)
				fetch.meanwhile = func(net.Conn) {
					time.Sleep(300 * time.Millisecond)
					d.node(0).Kill()
				}
				got := d.send(1, fetch)
				<-ended
				d.Expect(got.status).To(gomega.Equal(http.StatusOK))
				d.Expect(got.body).To(gomega.HavePrefix("bodybody"))
				d.Expect(got.isWhole).To(gomega.BeFalse())
			})
		})
	}
}

// Guards against a response that looks whole, an empty one too, to a caller that has closed its direction of the
// connection and reads on: the node takes it for one that left, and ends the request.
func TestCallersThatCloseTheirDirectionSeeNoWholeResponse(t *testing.T) {
	expectInterrupted(t, func(_ *deployment, connection net.Conn) {
		_ = connection.(interface{ CloseWrite() error }).CloseWrite()
	})
}
