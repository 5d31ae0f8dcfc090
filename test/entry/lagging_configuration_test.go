package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Guards against a stream without a record that goes on at the service to which the route leads at this node, although another
// node, which did not get that configuration and can't report to anyone, has begun it at the former service: that this node
// has had its configuration for long says nothing of the others.
func TestStreamsOfANodeWithAFormerConfigurationDoNotGoOnAtAnotherService(t *testing.T) {
	for _, isNamed := range []bool{false, true} {
		t.Run(fmt.Sprint("named: ", isNamed), func(t *testing.T) {
			runMixing(t, mixingCase{breaks: 2}, func(s *versionsScenario) {
				s.startOtherEngines()
				s.fabric.Partition([]string{"n1"}, []string{"n2", "n3", "store"})
				time.Sleep(time.Second)
				s.leadTo(otherEngines)
				time.Sleep(10 * time.Second) // twice the route's timeout of 4 s, and more
				mixed, resumed := 0, 0
				for i := range 20 {
					id, path, body := fmt.Sprintf("lag%d-0", i), fmt.Sprint("/resume/broken", i), fmt.Sprint("content ", i)
					began := platformsim.ReadEvents(s.resumableStream("n1", id, path, body, 0, "").body)
					if began.LastID == 0 {
						continue
					}
					resumed++
					first := map[bool]string{true: id}[isNamed]
					rest := s.resumableStream([]string{"n2", "n3"}[i%2], fmt.Sprintf("lag%d-1", i), path, body, began.LastID, first)
					if began.Add(platformsim.ReadEvents(rest.body)); len(began.Versions) > 1 {
						mixed++
					}
				}
				t.Logf("%d resumed, %d of two services", resumed, mixed)
				s.Expect(resumed).To(gomega.BeNumerically(">", 10))
				s.Expect(mixed).To(gomega.Equal(0), "streams with events of two services")
			})
		})
	}
}

// Guards against a stream without a record that goes on at another service, as all nodes are new processes, which know of no
// configuration before their first one: that one led the route elsewhere, and allowed streams to live for longer.
func TestStreamsFromBeforeARestartOfAllNodesDoNotGoOnAtAnotherService(t *testing.T) {
	for _, isNamed := range []bool{false, true} {
		t.Run(fmt.Sprint("named: ", isNamed), func(t *testing.T) {
			runMixing(t, mixingCase{breaks: 2}, func(s *versionsScenario) {
				s.startOtherEngines()
				id, path, body := "old-0", "/resume/broken", "content"
				began := platformsim.ReadEvents(s.resumableStream("n1", id, path, body, 0, "").body)
				s.Expect(began.LastID).To(gomega.BeNumerically(">", 0))
				s.configure(func(configuration *entrylab.Configuration) {
					configuration.Services = append(configuration.Services, entrylab.Service{Name: otherEngines})
					for i := range configuration.Routes {
						configuration.Routes[i].Timeout = 1000
						if configuration.Routes[i].Name == "resume" {
							configuration.Routes[i].Service = otherEngines
						}
					}
				})
				time.Sleep(500 * time.Millisecond)
				restartAllNodes(s.scenario)
				time.Sleep(4 * time.Second) // the stream may live for 8 s
				got := s.resumableStream("n2", "old-1", path, body, began.LastID, map[bool]string{true: id}[isNamed])
				began.Add(platformsim.ReadEvents(got.body))
				s.Expect(began.Versions).To(gomega.HaveLen(1), "status %d", got.status)
			})
		})
	}
}
