package etcdstore

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Guards against a message of a watch that has no end and is held until the process is over its memory limit.
func TestWatchMessagesWithoutEndAreGivenUp(t *testing.T) {
	const endlessBytes = 64 << 20
	g := gomega.NewWithT(t)
	sent := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		written := 0
		_, _ = w.Write([]byte{'"'})
		for block := bytes.Repeat([]byte{'x'}, 1<<20); written < endlessBytes; written += len(block) {
			if _, err := w.Write(block); err != nil {
				break
			}
		}
		sent <- written
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := New(network.TCP{}, server.Listener.Addr().String(), time.Second, nil).Watch(ctx, "key", 1)
	g.Expect(err).To(gomega.MatchError(errkind.StoreUnavailable))
	g.Expect(<-sent).To(gomega.BeNumerically("<", endlessBytes))
}
