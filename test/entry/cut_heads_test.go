package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// framingLines are the lines of a head that frame its body, by name.
var framingLines = map[string]string{
	"length": "Content-Length: 1200\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "none": "", "close": "Connection: close\r\n",
}

// Guards against a replica that stops in the middle of the head of its answer and closes the connection, whereupon the
// caller gets 200 with an empty or short body, framed as whole: at every byte, for each framing and kind of route, callers
// of HTTP/1.0 and 1.1, on new and kept connections. The whole head without a body is the last cut.
func TestAnswersCutInTheirHeadsReachNoCallerAsWhole(t *testing.T) {
	for _, route := range answerRoutes {
		for framing, lines := range framingLines {
			t.Run(route.path+" "+framing, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					contentType := "Content-Type: text/plain\r\n"
					if route.service == "engines" {
						contentType = "Content-Type: text/event-stream\r\n"
					}
					cut, lastConn, isSent, isKept := 0, net.Conn(nil), false, false
					replicas := s.replaceReplicas(route.service, 1, func(_ int, exchange *scriptedExchange) {
						if cut < 0 {
							lastConn = exchange.conn
							route.wholeAnswer(exchange)
							return
						}
						isSent, isKept = true, exchange.conn == lastConn
						head := exchange.head("200 OK", contentType+lines)
						exchange.write(head[:min(cut, len(head))])
						exchange.close()
					})
					defer replicas.close()
					length := len("HTTP/1.1 200 OK\r\nX-Attempt-Id: raw10\r\nX-Server-Stamp: i-x0\r\n\r\n" + contentType + lines)
					sent := map[bool]int{}
					for wanted := range 2 * (length + 2) {
						if cut = -1; wanted%2 == 0 {
							s.rawCall(route.path, "HTTP/1.1", "", nil) // leaves a kept connection
						}
						cut, isSent = wanted/2, false
						got := s.rawCall(route.path, fmt.Sprint("HTTP/1.", wanted/4%2), "", nil)
						s.Expect(got.status == http.StatusOK && got.complete).To(gomega.BeFalse(), "cut at byte %d: %v", cut, got)
						if isSent {
							sent[isKept]++
						}
						if strings.Contains(fmt.Sprint(got.status), "503") {
							time.Sleep(5 * time.Second) // until the replica is probed
						}
					}
					t.Logf("cuts on new connections %d, on kept ones %d, of %d each", sent[false], sent[true], length+2)
					s.Expect(sent[true]).To(gomega.BeNumerically(">=", length/2))
					s.Expect(sent[false]).To(gomega.BeNumerically(">=", length/2))
				})
			})
		}
	}
}
