package soak

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Guards against runs that are lost when a replica's process is killed: they have to be on its output before the answer.
func TestRunsAreWrittenBeforeTheirAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	input, toReplica := io.Pipe()
	fromReplica, output := io.Pipe()
	served := make(chan error, 1)
	go func() { served <- ServeReplica(input, output) }()
	options := replicaOptions{ID: "again-0", Service: replacedService, Address: "127.0.29.2:8080", Slots: 1, Events: 3, Incarnation: "again-0.4", WritesRuns: true}
	g.Expect(json.NewEncoder(toReplica).Encode(options)).To(gomega.Succeed())
	decoder := json.NewDecoder(fromReplica)
	var listening replicaOptions
	g.Expect(decoder.Decode(&listening)).To(gomega.Succeed())

	request, err := http.NewRequest(http.MethodPost, "http://"+options.Address+"/", strings.NewReader("soak"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("X-Attempt-Id", "rs1-0")
	request.Header.Set("X-Expect-Instance", options.ID)
	request.Close = true // the replica of another run at this address may still serve kept connections
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		events, _, err := platformsim.ParseEvents(string(body), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(events).To(gomega.HaveLen(3))
		g.Expect(events[2].Incarnation).To(gomega.Equal(options.Incarnation))
	}()
	var run replicaRun
	g.Expect(decoder.Decode(&run)).To(gomega.Succeed())
	g.Expect(run.ID).To(gomega.Equal("rs1-0"))
	<-answered
	g.Expect(toReplica.Close()).To(gomega.Succeed())
	g.Expect(<-served).To(gomega.Succeed())
}

// Guards against an entry that a replica writes while the store is down, or after it ended, when its successor may
// have written another one.
func TestEntriesAreWrittenOnceTheStoreIsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := platformsim.NewStore()
		options := replicaOptions{ID: "again-0", Service: replacedService, Address: "127.0.29.2:8080", Version: "v2", StartedAt: 5}
		present := &incarnation{options: options, statesStart: true, startedAt: time.Now()}
		store.SetDown(true)
		go present.listOnceUp(store, maxEntryDelay/2)
		time.Sleep(3 * time.Second)
		g.Expect(store.Value("servers/again-0")).To(gomega.BeNil())
		store.SetDown(false)
		time.Sleep(maxEntryDelay)
		g.Expect(string(store.Value("servers/again-0"))).To(gomega.And(gomega.ContainSubstring(`"v2"`), gomega.ContainSubstring(`"born":5`)))

		options.Version = "v1"
		former := &incarnation{options: options, startedAt: time.Now()}
		go former.listOnceUp(store, maxEntryDelay)
		former.mutex.Lock()
		former.endedAt = time.Now()
		former.mutex.Unlock()
		time.Sleep(2 * maxEntryDelay)
		g.Expect(string(store.Value("servers/again-0"))).To(gomega.ContainSubstring(`"v2"`))
		g.Expect(former.listedAt).To(gomega.BeZero())
	})
}
