package platformsim

import (
	"encoding/json"
	"fmt"
	"net"
)

// reportPath is the path of the replica's report on itself.
const reportPath = "/api/report"

// report is what a replica tells of itself.
type report struct {
	StartedAt int64 `json:"born"`
	Running   int   `json:"running"`
}

// writeReport answers a request for the report, with 404 if the replica has none. It takes no slot.
func (r *Replica) writeReport(conn net.Conn) bool {
	if !r.HasReport {
		return writeText(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	r.mutex.Lock()
	running := r.running
	r.mutex.Unlock()
	body, err := json.Marshal(report{StartedAt: r.BornAt, Running: running})
	if err != nil {
		return false
	}
	return writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}
