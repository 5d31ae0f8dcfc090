package entry

import (
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against bytes without end that keep a node from ending in its planned stop, take its memory meanwhile or leave a
// request without a true answer.
func TestBytesWithoutEndInAPlannedStop(t *testing.T) {
	const maxHeld = 24 << 20 // beside the node's own; 16 MB are sent each time
	for name, spoiled := range spoiledAnswers {
		for _, route := range []struct {
			path, method, service string
			status                int
		}{
			{"/once/", http.MethodPost, "registry", http.StatusBadGateway}, {"/safe/", http.MethodGet, "registry", http.StatusOK},
			{"/resume/", http.MethodPost, "engines", http.StatusOK},
		} {
			t.Run(name+route.path, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					replicas := s.replaceReplicas(route.service, 3, func(number int, exchange *scriptedExchange) {
						if number == 1 {
							spoiled.write(exchange)
							exchange.silent()
							return
						}
						exchange.write(exchange.plain("200 OK", "Content-Type: text/event-stream\r\n", "id: 1\ndata: sound\n\n"))
					})
					defer replicas.close()
					runtime.GC()
					var before, after runtime.MemStats
					runtime.ReadMemStats(&before)
					startedAt := time.Now()
					stopped := s.stopInBackground("n1")
					time.Sleep(2 * time.Second)
					got := s.do("n1", route.method, route.path, nil)
					runtime.ReadMemStats(&after)
					s.Expect(got.status).To(gomega.Equal(route.status))
					s.Expect(got.complete).To(gomega.BeTrue())
					s.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(gomega.BeNumerically("<", maxHeld))
					<-stopped
					s.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<=", 6*time.Second))
				})
			})
		}
	}
}

// Guards against the body of a rejection without end that holds its request, or counts as an answer.
func TestBodiesOfRejectionsWithoutEndAreDropped(t *testing.T) {
	for name, lines := range map[string]string{"without a length": "Connection: close\r\n", "in chunks": "Transfer-Encoding: chunked\r\n"} {
		for _, path := range []string{"/once/", "/safe/", "/resume/"} {
			t.Run(name+path, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					service := "registry"
					if path == "/resume/" {
						service = "engines"
					}
					replicas := s.replaceReplicas(service, 3, func(number int, exchange *scriptedExchange) {
						if number == 1 {
							part := "x"
							if strings.HasPrefix(lines, "Transfer") {
								part = "1\r\nx\r\n"
							}
							exchange.writeEndless(exchange.head("503 Busy", "X-Not-Executed: 1\r\n"+lines), part)
							exchange.silent()
							return
						}
						exchange.write(exchange.plain("200 OK", "Content-Type: text/event-stream\r\n", "id: 1\ndata: sound\n\n"))
					})
					defer replicas.close()
					got := s.do("n1", http.MethodPost, path, nil)
					s.Expect(got.status).To(gomega.Equal(http.StatusOK))
					s.Expect(got.body).To(gomega.ContainSubstring("sound"))
					s.Expect(got.took).To(gomega.BeNumerically("<=", 500*time.Millisecond))
				})
			})
		}
	}
}
