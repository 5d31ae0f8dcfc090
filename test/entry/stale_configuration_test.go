package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// Guards against a node that knows that a newer configuration exists, can't get it, and keeps
// serving by the old one, which may contain a withdrawn key or a removed route.
func TestNodeThatCannotGetTheNewerConfigurationRejectsWithRetryAfter(t *testing.T) {
	runScenario(t, func(s *scenario) {
		behind := s.scheduler() // which assigns requests without other nodes
		other := s.followers()[0]
		for _, unreachable := range append(s.followers(), "store") {
			s.fabric.BlockLink(behind, unreachable) // it receives heartbeats and can't call their senders
		}
		s.configure(nil) // arrives by the watch that is open
		time.Sleep(50 * time.Millisecond)
		s.configure(func(c *entrylab.Configuration) {
			added := c.Routes[0]
			added.Name, added.PathPrefix = "fresh", "/fresh/"
			c.Routes = append(c.Routes, added)
		})
		time.Sleep(500 * time.Millisecond)
		s.Expect(s.do(other, http.MethodGet, "/fresh/", nil).status).To(gomega.Equal(http.StatusOK))
		unknown := s.do(behind, http.MethodGet, "/fresh/", nil)
		s.Expect(unknown.status).To(gomega.Equal(http.StatusServiceUnavailable), "the newer version may have the route")
		s.Expect(unknown.header.Get("Retry-After")).To(gomega.Equal("0.20"))
		unknownKey := s.do(behind, http.MethodGet, "/safe/", func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-2") })
		s.Expect(unknownKey.status).To(gomega.Equal(http.StatusServiceUnavailable), "the newer version may have the key")
		s.Expect(s.do(behind, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(http.StatusOK), "the newer version may still arrive in time")
		time.Sleep(time.Second)
		late := s.do(behind, http.MethodGet, "/safe/", nil)
		s.Expect(late.status).To(gomega.Equal(http.StatusServiceUnavailable), "the newer version is active at all other nodes")
		s.Expect(late.header.Get("Retry-After")).To(gomega.Equal("0.20"))
		s.fabric.Heal()
		time.Sleep(4 * time.Second)
		s.Expect(s.do(behind, http.MethodGet, "/fresh/", nil).status).To(gomega.Equal(http.StatusOK))
		s.Expect(s.do(behind, http.MethodGet, "/nowhere/", nil).status).To(gomega.Equal(http.StatusNotFound))
	})
}
