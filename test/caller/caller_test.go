// Package caller tests the callers' interface of package node with the published OpenAI client
// and with plain HTTP, with valid and invalid requests.
package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/examples"
	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/standin"
	"github.com/thornwalk/thornwalk/node"
)

// deployment is a small cluster under virtual time, of which first and second are nodes of one
// zone.
type deployment struct {
	*gomega.WithT
	fabric  *memnet.Fabric
	cluster *cluster.Cluster
	client  *http.Client
	first   *node.Node
	second  *node.Node
}

var engineSpec = enginesim.Spec{Generation: "g", Accelerators: 4, Slots: 8, BaseStep: 5 * time.Millisecond, ChunkTokens: 512, CacheBlocks: 100, KVTokens: 50000}

// runWithDeployment runs the test on two zones with two nodes each. The settings are triples of
// path, key and value, which are added to the example settings.
func runWithDeployment(t *testing.T, test func(d *deployment), settings ...string) {
	logging.Discard()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		tree, err := examples.Settings("agency")
		if err != nil {
			t.Fatal(err)
		}
		tree = tree.Set("tenants/public", "max_body_bytes", "2048").Set("tenants/inspectors", "rate", "1").Set("tenants/inspectors", "burst", "2")
		for i := 0; i+2 < len(settings); i += 3 {
			tree = tree.Set(settings[i], settings[i+1], settings[i+2])
		}
		d := &deployment{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		d.cluster, err = cluster.Start(ctx, cluster.Options{
			Zones: []string{"trakiya", "kapana"}, NodesPerZone: 2, EngineService: "ezik-servers", Model: "ezik", Engines: []enginesim.Spec{engineSpec},
			PlainService: "registar-app", PlainReplicas: 1, CallTime: 10 * time.Millisecond, Settings: tree, Host: d.fabric.Host, ListenAddress: ":0", Seed: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		d.first, d.second = d.cluster.Node("trakiya-n0"), d.cluster.Node("trakiya-n1")
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.fabric.Host("caller").Dial(ctx, address)
		}
		d.client = &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
		defer func() {
			d.cluster.Stop()
			cancel()
			time.Sleep(10 * time.Second) // lets sleeping goroutines end, since virtual time stops afterwards
		}()
		test(d)
	})
}

// reply is a response whose body was read completely.
type reply struct {
	status int
	header http.Header
	body   string
}

// send sends a request with the API key, unless that is empty; the headers are pairs of name and
// value.
func (d *deployment) send(method, url, key, body string, header ...string) reply {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	d.Expect(err).NotTo(gomega.HaveOccurred())
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := d.client.Do(request)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	return reply{response.StatusCode, response.Header, string(content)}
}

func callerURL(n *node.Node, path string) string { return "http://" + n.CallerAddress() + path }

const chatRequest = `{"model":"ruling","lab_output_tokens":5,"messages":[{"role":"user","content":"May I cross?"}]}`

// Guards against responses that the published client can't parse, streamed or not.
func TestOpenAIClient(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		client := openai.NewClient(option.WithBaseURL(callerURL(d.first, "/v1/")), option.WithAPIKey("couriers-key"), option.WithHTTPClient(d.client), option.WithMaxRetries(0))
		parameters := openai.ChatCompletionNewParams{Model: "ruling", MaxTokens: openai.Int(6), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("May I cross?")}}
		completion, err := client.Chat.Completions.New(context.Background(), parameters)
		d.Expect(err).NotTo(gomega.HaveOccurred())
		d.Expect(strings.Fields(completion.Choices[0].Message.Content)).To(gomega.HaveLen(6))
		d.Expect(completion.Usage.CompletionTokens).To(gomega.BeEquivalentTo(6))
		stream := client.Chat.Completions.NewStreaming(context.Background(), parameters)
		var joined openai.ChatCompletionAccumulator
		for stream.Next() {
			joined.AddChunk(stream.Current())
		}
		d.Expect(stream.Err()).NotTo(gomega.HaveOccurred())
		d.Expect(strings.Fields(joined.Choices[0].Message.Content)).To(gomega.HaveLen(6))
		models, err := client.Models.List(context.Background())
		d.Expect(err).NotTo(gomega.HaveOccurred())
		d.Expect(models.Data).To(gomega.HaveLen(4))
	})
}

// Guards against invalid requests that reach a back end, get no error code or outcome, or break
// the node.
func TestInvalidRequestsGetTypedErrors(t *testing.T) {
	chat := "/v1/chat/completions"
	cases := map[string]struct {
		method, path, key, body string
		header                  []string
		status                  int
		code, outcome           string
	}{
		"no key":          {"POST", chat, "", chatRequest, nil, 401, "unauthorized", "not-run"},
		"a wrong key":     {"POST", chat, "nobody", chatRequest, nil, 401, "unauthorized", "not-run"},
		"bad json":        {"POST", chat, "couriers-key", "{", nil, 400, "bad-request", "not-run"},
		"broken utf-8":    {"POST", chat, "couriers-key", "{\"model\":\"\xff\"}", nil, 400, "bad-request", "not-run"},
		"unknown model":   {"POST", chat, "couriers-key", strings.Replace(chatRequest, "ruling", "x", 1), nil, 404, "unknown-route", "not-run"},
		"oversize body":   {"POST", chat, "public-key", strings.Replace(chatRequest, "May", strings.Repeat("M", 4000), 1), nil, 413, "too-large", "not-run"},
		"a bad deadline":  {"POST", chat, "couriers-key", chatRequest, []string{node.HeaderDeadline, "soon"}, 400, "bad-request", "not-run"},
		"a long key":      {"POST", chat, "couriers-key", chatRequest, []string{node.HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400, "bad-request", "not-run"},
		"a false ticket":  {"POST", chat, "couriers-key", chatRequest, []string{node.HeaderTicket, "x"}, 409, "bad-ticket", "pending"},
		"unknown service": {"GET", "/services/none/x", "couriers-key", "", nil, 404, "unknown-route", "not-run"},
		"unknown id":      {"GET", "/v1/requests/zzz", "couriers-key", "", nil, 404, "not-found", "pending"},
		"a false receipt": {"GET", "/v1/requests/tw_gone_1_1", "couriers-key", "", []string{node.HeaderReceipt, "x"}, 400, "bad-receipt", "pending"},
	}
	runWithDeployment(t, func(d *deployment) {
		for name, c := range cases {
			got := d.send(c.method, callerURL(d.first, c.path), c.key, c.body, c.header...)
			d.Expect(got.status).To(gomega.Equal(c.status), name)
			d.Expect(got.header.Get(node.HeaderErrorCode)).To(gomega.Equal(c.code), name)
			d.Expect(got.header.Get(node.HeaderOutcome)).To(gomega.Equal(c.outcome), name)
			d.Expect(got.body).To(gomega.ContainSubstring("message"), name)
		}
		d.Expect(d.cluster.Executions()).To(gomega.BeEmpty())
		d.Expect(d.send("POST", callerURL(d.first, chat), "couriers-key", chatRequest).status).To(gomega.Equal(200), "valid request after the invalid ones")
	})
}

// Guards against a second execution of a resubmitted request, at another node too.
func TestIdempotencyKeyReturnsFirstAnswerAndRejectsOtherBody(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		path, key := "/v1/chat/completions", []string{node.HeaderIdempotencyKey, "k"}
		first := d.send("POST", callerURL(d.first, path), "couriers-key", chatRequest, key...)
		second := d.send("POST", callerURL(d.second, path), "couriers-key", chatRequest, key...)
		d.Expect(second.body).To(gomega.Equal(first.body))
		d.Expect(second.header.Get(node.HeaderRequestID)).To(gomega.Equal(first.header.Get(node.HeaderRequestID)))
		other := d.send("POST", callerURL(d.second, path), "couriers-key", strings.Replace(chatRequest, "cross", "stay", 1), key...)
		d.Expect(other.header.Get(node.HeaderErrorCode)).To(gomega.Equal("key-reused"))
		d.send("POST", callerURL(d.second, path), "restaurants-key", chatRequest, key...) // another tenant's key is another request
		d.Expect(d.cluster.Executions()).To(gomega.HaveLen(2))
	})
}

// Guards against answers that are lost with their node, or readable by another tenant.
func TestAnswerIsAvailableAtOtherNodesAndByReceipt(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		first := d.send("POST", callerURL(d.first, "/v1/chat/completions"), "couriers-key", chatRequest)
		id, receipt := first.header.Get(node.HeaderRequestID), first.header.Get(node.HeaderReceipt)
		again := d.send("GET", callerURL(d.second, "/v1/requests/"+id+"/answer"), "couriers-key", "")
		d.Expect(again.body).To(gomega.Equal(first.body))
		d.Expect(d.send("GET", callerURL(d.second, "/v1/requests/"+id), "restaurants-key", "").body).NotTo(gomega.ContainSubstring("answered"), "request of another tenant")
		d.first.Kill()
		time.Sleep(5 * time.Second)
		after := d.send("GET", callerURL(d.second, "/v1/requests/"+id+"/answer"), "couriers-key", "", node.HeaderReceipt, receipt)
		d.Expect(after.body).To(gomega.Equal(first.body))
		d.Expect(d.cluster.Executions()).To(gomega.HaveLen(1))
	})
}

// Guards against requests that can't be submitted safely while the store is down: without a claim
// they are rejected, with a ticket they run once.
func TestTicketsReplaceClaimsDuringStoreOutage(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		d.cluster.Store.SetFault(func(string) standin.StoreFault { return standin.StoreRefuses })
		appeal := strings.Replace(chatRequest, "ruling", "appeal", 1)
		path := callerURL(d.first, "/v1/chat/completions")
		keyed := d.send("POST", path, "couriers-key", appeal, node.HeaderIdempotencyKey, "a")
		d.Expect(keyed.header.Get(node.HeaderErrorCode)).To(gomega.Equal("no-claim"))
		d.Expect(keyed.header.Get(node.HeaderOutcome)).To(gomega.Equal("not-run"))
		d.Expect(keyed.body).To(gomega.ContainSubstring("/v1/tickets"))
		var ticketCaller = cluster.NewCaller(d.fabric.Host("caller"))
		ticket, err := ticketCaller.GetTicket(context.Background(), d.second.CallerAddress(), "couriers-key")
		d.Expect(err).NotTo(gomega.HaveOccurred())
		first := d.send("POST", path, "couriers-key", appeal, node.HeaderTicket, ticket)
		d.Expect(first.status).To(gomega.Equal(200), "forwarded to the process that issued the ticket")
		again := d.send("POST", path, "couriers-key", appeal, node.HeaderTicket, ticket)
		d.Expect(again.body).To(gomega.Equal(first.body))
		d.Expect(d.cluster.Executions()).To(gomega.HaveLen(1))
	})
}

// Guards against activating settings from the store that can't be decoded or fail validation.
func TestInvalidStoredSettingsKeepActiveGeneration(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		d.cluster.Store.Put(settingsync.Key, []byte("\xc1 rubbish"))
		broken := &settingsync.Document{Generation: 9, Branches: d.cluster.Document.Tree().Set("tiers/status", "rank", "77").Branches()}
		data, err := broken.Encode()
		d.Expect(err).NotTo(gomega.HaveOccurred())
		d.cluster.Store.Put(settingsync.Key, data)
		time.Sleep(5 * time.Second)
		d.Expect(d.first.Settings().Generation).To(gomega.BeEquivalentTo(1))
		d.Expect(d.send("POST", callerURL(d.first, "/v1/chat/completions"), "couriers-key", chatRequest).status).To(gomega.Equal(200))
	})
}

// Guards against a node that never becomes ready since other nodes already poll all replicas.
func TestNodeThatPollsNoReplicaBecomesReady(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		for number := range 4 {
			d.Expect(d.cluster.StartNode(cluster.NodeName("trakiya", 2+number), "trakiya")).To(gomega.Succeed())
		}
		time.Sleep(5 * time.Second)
		for _, name := range d.cluster.Names() {
			d.Expect(d.cluster.Node(name).Ready()).To(gomega.BeTrue(), name)
		}
	})
}

// Guards against rate-limited callers that aren't given a retry time.
func TestTenantRateLimitSetsRetryAfter(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		limited := 0
		for range 6 {
			got := d.send("POST", callerURL(d.first, "/v1/chat/completions"), "inspectors-key", chatRequest)
			if got.status == http.StatusTooManyRequests {
				limited++
				d.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		}
		d.Expect(limited).To(gomega.BeNumerically(">", 2))
	})
}

// Guards against callers that occupy a connection with an unfinished request header.
func TestConnectionWithIncompleteHeaderIsClosed(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		connection, err := d.fabric.Host("caller").Dial(context.Background(), d.first.CallerAddress())
		d.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = connection.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthor"))
		d.Expect(err).NotTo(gomega.HaveOccurred())
		start := time.Now()
		_, err = io.ReadAll(connection)
		d.Expect(err).NotTo(gomega.HaveOccurred())
		d.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Minute))
	})
}

// Guards against back ends that go on working for a caller that disconnected.
func TestDisconnectCancelsRequest(t *testing.T) {
	runWithDeployment(t, func(d *deployment) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		long := strings.Replace(chatRequest, `"lab_output_tokens":5`, `"lab_output_tokens":150`, 1)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, callerURL(d.first, "/v1/chat/completions"), strings.NewReader(long))
		d.Expect(err).NotTo(gomega.HaveOccurred())
		request.Header.Set("Authorization", "Bearer couriers-key")
		_, err = d.client.Do(request)
		d.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(2 * time.Second)
		executions := d.cluster.Executions()
		d.Expect(executions).To(gomega.HaveLen(1))
		d.Expect(executions[0].Cancelled).To(gomega.BeTrue())
		d.Expect(d.first.Status().InFlight).To(gomega.BeZero())
	})
}
