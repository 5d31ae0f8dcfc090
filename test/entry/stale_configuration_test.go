package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// A node may hear that a newer configuration exists and have no way to get it. What it
// does not know may be right by then, and what it knows may be over: a withdrawn key, a
// removed route. It must not answer by the old one for longer than a change may take.
func TestNodeThatCannotGetTheNewerConfigurationRejectsWithRetryAfter(t *testing.T) {
	runScenario(t, func(s *scenario) {
		behind := s.scheduler() // which needs no other node to place requests
		other := s.followers()[0]
		for _, unreachable := range append(s.followers(), "store") {
			s.fabric.Cut(behind, unreachable) // it hears of the others and can't ask them
		}
		s.configure(nil) // still comes by the watch that waits
		time.Sleep(50 * time.Millisecond)
		s.configure(func(c *entrylab.Configuration) {
			fresh := c.Routes[0]
			fresh.Name, fresh.PathPrefix = "fresh", "/fresh/"
			c.Routes = append(c.Routes, fresh)
		})
		time.Sleep(500 * time.Millisecond)
		s.Expect(s.do(other, http.MethodGet, "/fresh/", nil).status).To(gomega.Equal(http.StatusOK))
		unknown := s.do(behind, http.MethodGet, "/fresh/", nil)
		s.Expect(unknown.status).To(gomega.Equal(http.StatusServiceUnavailable), "the newer version may have the route")
		s.Expect(unknown.header.Get("Retry-After")).To(gomega.Equal("0.20"))
		stranger := s.do(behind, http.MethodGet, "/safe/", func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-2") })
		s.Expect(stranger.status).To(gomega.Equal(http.StatusServiceUnavailable), "the newer version may have the key")
		s.Expect(s.do(behind, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(http.StatusOK), "it may still be coming")
		time.Sleep(time.Second)
		late := s.do(behind, http.MethodGet, "/safe/", nil)
		s.Expect(late.status).To(gomega.Equal(http.StatusServiceUnavailable), "the newer version is in force everywhere else")
		s.Expect(late.header.Get("Retry-After")).To(gomega.Equal("0.20"))
		s.fabric.Heal()
		time.Sleep(4 * time.Second)
		s.Expect(s.do(behind, http.MethodGet, "/fresh/", nil).status).To(gomega.Equal(http.StatusOK))
		s.Expect(s.do(behind, http.MethodGet, "/nowhere/", nil).status).To(gomega.Equal(http.StatusNotFound))
	})
}
