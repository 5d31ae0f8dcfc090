package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/lab/demo"
	"github.com/thornwalk/thornwalk/transport/backendhttp"
)

// BenchmarkAddedLatency calls a plain service directly and through a node alternately, and
// reports both median latencies and their difference.
func BenchmarkAddedLatency(b *testing.B) {
	logging.Discard()
	c, err := demo.StartCluster(context.Background(), 1, false)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Stop()
	entryNode := c.Node("trakiya-n0")
	serviceAddress := ""
	for _, backend := range entryNode.Backends() {
		if backend.Replica.Service == "registar-app" {
			serviceAddress = backend.Replica.Address
		}
	}
	client := &http.Client{}
	var direct, throughNode []time.Duration
	call := func(url string) time.Duration {
		start := time.Now()
		request, _ := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
		request.Header.Set("Authorization", "Bearer restaurants-key")
		request.Header.Set(backendhttp.HeaderRequestID, fmt.Sprint(len(direct)))
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return time.Since(start)
	}
	for b.Loop() {
		direct = append(direct, call("http://"+serviceAddress+"/permits"))
		throughNode = append(throughNode, call("http://"+entryNode.CallerAddress()+"/services/registar-app/permits"))
	}
	median := func(values []time.Duration) float64 {
		sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
		return float64(values[len(values)/2].Microseconds())
	}
	b.ReportMetric(median(direct), "µs-direct")
	b.ReportMetric(median(throughNode), "µs-through")
	b.ReportMetric(median(throughNode)-median(direct), "µs-added")
}
