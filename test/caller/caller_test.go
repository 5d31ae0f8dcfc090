// Package caller drives entry nodes as callers do: with the published OpenAI
// client and with plain HTTP, with good input and bad.
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

// scene is a small deployment under virtual time.
type scene struct {
	*gomega.WithT
	fabric  *memnet.Fabric
	cluster *cluster.Cluster
	client  *http.Client
	first   *node.Node
	second  *node.Node
}

var engine = enginesim.Spec{Generation: "g", Accelerators: 4, Slots: 8, BaseStep: 5 * time.Millisecond, ChunkTokens: 512, CacheBlocks: 100, KVTokens: 50000}

// play runs the test on a deployment of two zones with two nodes each. Settings
// are path, key and value in turn.
func play(t *testing.T, test func(s *scene), settings ...string) {
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
		s := &scene{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		s.cluster, err = cluster.Start(ctx, cluster.Options{
			Zones: []string{"trakiya", "kapana"}, NodesPerZone: 2, EngineService: "ezik-servers", Model: "ezik", Engines: []enginesim.Spec{engine},
			PlainService: "registar-app", PlainReplicas: 1, CallTime: 10 * time.Millisecond, Settings: tree, Host: s.fabric.Host, ListenAddress: ":0", Seed: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		s.first, s.second = s.cluster.Node("trakiya-n0"), s.cluster.Node("trakiya-n1")
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			return s.fabric.Host("caller").Dial(ctx, address)
		}
		s.client = &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
		defer func() {
			s.cluster.Stop()
			cancel()
			time.Sleep(10 * time.Second) // virtual time stands still afterwards
		}()
		test(s)
	})
}

// reply is a response that was read.
type reply struct {
	status int
	header http.Header
	body   string
}

func (s *scene) send(method, url, key, body string, header ...string) reply {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	s.Expect(err).NotTo(gomega.HaveOccurred())
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := s.client.Do(request)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return reply{response.StatusCode, response.Header, string(content)}
}

func at(n *node.Node, path string) string { return "http://" + n.CallerAddress() + path }

const question = `{"model":"ruling","lab_output_tokens":5,"messages":[{"role":"user","content":"May I cross?"}]}`

func TestPublishedClient(t *testing.T) {
	play(t, func(s *scene) {
		client := openai.NewClient(option.WithBaseURL(at(s.first, "/v1/")), option.WithAPIKey("couriers-key"), option.WithHTTPClient(s.client), option.WithMaxRetries(0))
		parameters := openai.ChatCompletionNewParams{Model: "ruling", MaxTokens: openai.Int(6), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("May I cross?")}}
		completion, err := client.Chat.Completions.New(context.Background(), parameters)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		s.Expect(strings.Fields(completion.Choices[0].Message.Content)).To(gomega.HaveLen(6))
		s.Expect(completion.Usage.CompletionTokens).To(gomega.BeEquivalentTo(6))
		stream := client.Chat.Completions.NewStreaming(context.Background(), parameters)
		var joined openai.ChatCompletionAccumulator
		for stream.Next() {
			joined.AddChunk(stream.Current())
		}
		s.Expect(stream.Err()).NotTo(gomega.HaveOccurred())
		s.Expect(strings.Fields(joined.Choices[0].Message.Content)).To(gomega.HaveLen(6))
		models, err := client.Models.List(context.Background())
		s.Expect(err).NotTo(gomega.HaveOccurred())
		s.Expect(models.Data).To(gomega.HaveLen(4))
	})
}

func TestBadInputGetsTypedErrors(t *testing.T) {
	chat := "/v1/chat/completions"
	cases := map[string]struct {
		method, path, key, body string
		header                  []string
		status                  int
		code, outcome           string
	}{
		"no key":          {"POST", chat, "", question, nil, 401, "unauthorized", "not-run"},
		"a wrong key":     {"POST", chat, "nobody", question, nil, 401, "unauthorized", "not-run"},
		"bad json":        {"POST", chat, "couriers-key", "{", nil, 400, "bad-request", "not-run"},
		"broken utf-8":    {"POST", chat, "couriers-key", "{\"model\":\"\xff\"}", nil, 400, "bad-request", "not-run"},
		"unknown model":   {"POST", chat, "couriers-key", strings.Replace(question, "ruling", "x", 1), nil, 404, "unknown-route", "not-run"},
		"oversize body":   {"POST", chat, "public-key", strings.Replace(question, "May", strings.Repeat("M", 4000), 1), nil, 413, "too-large", "not-run"},
		"a bad deadline":  {"POST", chat, "couriers-key", question, []string{node.HeaderDeadline, "soon"}, 400, "bad-request", "not-run"},
		"a long key":      {"POST", chat, "couriers-key", question, []string{node.HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400, "bad-request", "not-run"},
		"a false ticket":  {"POST", chat, "couriers-key", question, []string{node.HeaderTicket, "x"}, 409, "bad-ticket", "pending"},
		"unknown service": {"GET", "/services/none/x", "couriers-key", "", nil, 404, "unknown-route", "not-run"},
		"unknown id":      {"GET", "/v1/requests/zzz", "couriers-key", "", nil, 404, "not-found", "pending"},
		"a false receipt": {"GET", "/v1/requests/tw_gone_1_1", "couriers-key", "", []string{node.HeaderReceipt, "x"}, 400, "bad-receipt", "pending"},
	}
	play(t, func(s *scene) {
		for name, c := range cases {
			got := s.send(c.method, at(s.first, c.path), c.key, c.body, c.header...)
			s.Expect(got.status).To(gomega.Equal(c.status), name)
			s.Expect(got.header.Get(node.HeaderErrorCode)).To(gomega.Equal(c.code), name)
			s.Expect(got.header.Get(node.HeaderOutcome)).To(gomega.Equal(c.outcome), name)
			s.Expect(got.body).To(gomega.ContainSubstring("message"), name)
		}
		s.Expect(s.cluster.Executions()).To(gomega.BeEmpty())
		s.Expect(s.send("POST", at(s.first, chat), "couriers-key", question).status).To(gomega.Equal(200), "the node still serves")
	})
}

func TestResubmissionJoinsAndAnotherBodyIsRefused(t *testing.T) {
	play(t, func(s *scene) {
		path, key := "/v1/chat/completions", []string{node.HeaderIdempotencyKey, "k"}
		first := s.send("POST", at(s.first, path), "couriers-key", question, key...)
		second := s.send("POST", at(s.second, path), "couriers-key", question, key...)
		s.Expect(second.body).To(gomega.Equal(first.body))
		s.Expect(second.header.Get(node.HeaderRequestID)).To(gomega.Equal(first.header.Get(node.HeaderRequestID)))
		other := s.send("POST", at(s.second, path), "couriers-key", strings.Replace(question, "cross", "stay", 1), key...)
		s.Expect(other.header.Get(node.HeaderErrorCode)).To(gomega.Equal("key-reused"))
		s.send("POST", at(s.second, path), "restaurants-key", question, key...) // another tenant's key is another request
		s.Expect(s.cluster.Executions()).To(gomega.HaveLen(2))
	})
}

func TestAnswerIsReadAgainAtAnyNodeAndByReceipt(t *testing.T) {
	play(t, func(s *scene) {
		first := s.send("POST", at(s.first, "/v1/chat/completions"), "couriers-key", question)
		id, sealed := first.header.Get(node.HeaderRequestID), first.header.Get(node.HeaderReceipt)
		again := s.send("GET", at(s.second, "/v1/requests/"+id+"/answer"), "couriers-key", "")
		s.Expect(again.body).To(gomega.Equal(first.body))
		s.Expect(s.send("GET", at(s.second, "/v1/requests/"+id), "restaurants-key", "").body).NotTo(gomega.ContainSubstring("answered"), "not another tenant's")
		s.first.Kill()
		time.Sleep(5 * time.Second)
		after := s.send("GET", at(s.second, "/v1/requests/"+id+"/answer"), "couriers-key", "", node.HeaderReceipt, sealed)
		s.Expect(after.body).To(gomega.Equal(first.body))
		s.Expect(s.cluster.Executions()).To(gomega.HaveLen(1))
	})
}

func TestStoreDown(t *testing.T) {
	play(t, func(s *scene) {
		s.cluster.Store.SetFault(func(string) standin.StoreFault { return standin.StoreRefuses })
		appeal := strings.Replace(question, "ruling", "appeal", 1)
		path := at(s.first, "/v1/chat/completions")
		keyed := s.send("POST", path, "couriers-key", appeal, node.HeaderIdempotencyKey, "a")
		s.Expect(keyed.header.Get(node.HeaderErrorCode)).To(gomega.Equal("no-claim"))
		s.Expect(keyed.header.Get(node.HeaderOutcome)).To(gomega.Equal("not-run"))
		s.Expect(keyed.body).To(gomega.ContainSubstring("/v1/tickets"))
		var caller = cluster.NewCaller(s.fabric.Host("caller"))
		ticket, err := caller.GetTicket(context.Background(), s.second.CallerAddress(), "couriers-key")
		s.Expect(err).NotTo(gomega.HaveOccurred())
		first := s.send("POST", path, "couriers-key", appeal, node.HeaderTicket, ticket)
		s.Expect(first.status).To(gomega.Equal(200), "forwarded to the process that gave the ticket")
		again := s.send("POST", path, "couriers-key", appeal, node.HeaderTicket, ticket)
		s.Expect(again.body).To(gomega.Equal(first.body))
		s.Expect(s.cluster.Executions()).To(gomega.HaveLen(1))
	})
}

func TestBadValueInTheStoreLeavesTheLastGenerationInForce(t *testing.T) {
	play(t, func(s *scene) {
		s.cluster.Store.Put(settingsync.Key, []byte("\xc1 rubbish"))
		broken := &settingsync.Document{Generation: 9, Branches: s.cluster.Document.Tree().Set("tiers/status", "rank", "77").Branches()}
		data, err := broken.Encode()
		s.Expect(err).NotTo(gomega.HaveOccurred())
		s.cluster.Store.Put(settingsync.Key, data)
		time.Sleep(5 * time.Second)
		s.Expect(s.first.Settings().Generation).To(gomega.BeEquivalentTo(1))
		s.Expect(s.send("POST", at(s.first, "/v1/chat/completions"), "couriers-key", question).status).To(gomega.Equal(200))
	})
}

// TestNodeThatPollsNothingIsReady starts a node when the others poll all
// replicas already.
func TestNodeThatPollsNothingIsReady(t *testing.T) {
	play(t, func(s *scene) {
		for number := range 4 {
			s.Expect(s.cluster.StartNode(cluster.NodeName("trakiya", 2+number), "trakiya")).To(gomega.Succeed())
		}
		time.Sleep(5 * time.Second)
		for _, name := range s.cluster.Names() {
			s.Expect(s.cluster.Node(name).Ready()).To(gomega.BeTrue(), name)
		}
	})
}

func TestTenantLimitSaysWhenToComeBack(t *testing.T) {
	play(t, func(s *scene) {
		limited := 0
		for range 6 {
			got := s.send("POST", at(s.first, "/v1/chat/completions"), "inspectors-key", question)
			if got.status == http.StatusTooManyRequests {
				limited++
				s.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		}
		s.Expect(limited).To(gomega.BeNumerically(">", 2))
	})
}

func TestSlowCallerIsCutOff(t *testing.T) {
	play(t, func(s *scene) {
		connection, err := s.fabric.Host("caller").Dial(context.Background(), s.first.CallerAddress())
		s.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = connection.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthor"))
		s.Expect(err).NotTo(gomega.HaveOccurred())
		begun := time.Now()
		_, err = io.ReadAll(connection)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		s.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Minute))
	})
}

func TestCallerWhoHangsUpEndsItsRequest(t *testing.T) {
	play(t, func(s *scene) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		long := strings.Replace(question, `"lab_output_tokens":5`, `"lab_output_tokens":150`, 1)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, at(s.first, "/v1/chat/completions"), strings.NewReader(long))
		s.Expect(err).NotTo(gomega.HaveOccurred())
		request.Header.Set("Authorization", "Bearer couriers-key")
		_, err = s.client.Do(request)
		s.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(2 * time.Second)
		executions := s.cluster.Executions()
		s.Expect(executions).To(gomega.HaveLen(1))
		s.Expect(executions[0].Cancelled).To(gomega.BeTrue())
		s.Expect(s.first.Status().InFlight).To(gomega.BeZero())
	})
}
