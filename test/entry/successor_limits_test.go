package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// counters returns the sum of the counter over all nodes, by their metrics.
func (s *scenario) counters(name string) int {
	total := 0
	for _, host := range hosts {
		total += s.metricAt(host, name)
	}
	return total
}

// metricAt returns the value of the metric at the node, or zero if it has none.
func (s *scenario) metricAt(host, name string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+entrylab.OperatorsAddress(host)+"/metrics", nil)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	_, after, found := strings.Cut(s.send(request).body, "thornwalk_"+name)
	if !found {
		return 0
	}
	line, _, _ := strings.Cut(after, "\n")
	value, err := strconv.Atoi(strings.TrimSpace(line))
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

// Guards against a successor that is given up for an answer that can't be used, while it would have answered.
func TestContentEncodedAnswerOfASilentReplicaDoesNotEndItsSuccessor(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(2)
		replicas := s.replaceReplicas("registry", 3, func(number int, exchange *scriptedExchange) {
			if number == 1 {
				if exchange.sleep(1500 * time.Millisecond) {
					exchange.write(exchange.plain("200 OK", "Content-Encoding: gzip\r\n", "packed"))
				}
				return
			}
			if exchange.sleep(400 * time.Millisecond) {
				exchange.write(exchange.plain("200 OK", "", "whole"))
			}
		})
		defer replicas.close()
		got := s.do("n1", http.MethodGet, "/safe/", nil)
		s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
		s.Expect(replicas.count()).To(gomega.Equal(2), "replicas that got the request, of two attempts")
	})
}

// Guards against a search that begins before the limit, since the one before ended after its replica had gone on.
func TestNextSearchWaitsForTheWholeLimit(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(4)
		replicas := s.replaceReplicas("engines", 5, func(number int, exchange *scriptedExchange) {
			if number > 1 {
				exchange.silent()
				return
			}
			exchange.write(exchange.head("200 OK", eventStreamLines))
			exchange.event(1)
			exchange.sleep(1500 * time.Millisecond)
			exchange.event(2)
			exchange.sleep(time.Second) // below the limit of 1.2 s
			exchange.event(3)
			exchange.write("0\r\n\r\n")
		})
		defer replicas.close()
		got := s.do("n1", http.MethodPost, "/resume/", withDeadline(silentDeadline))
		s.Expect(got.complete).To(gomega.BeTrue())
		s.Expect(replicas.count()).To(gomega.Equal(2))
	})
}

// Guards against engines that go on working, and slots that stay occupied, after the caller left or its time is over
// while its engine and the successor are silent.
func TestEndOfARequestWithASuccessorFreesBothEngines(t *testing.T) {
	for name, leaveAfter := range map[string]time.Duration{"caller leaves": 2 * time.Second, "deadline": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.setAttempts(2)
				const count = 4 // of 16 slots
				replicas := s.replaceReplicas("engines", 2, func(number int, exchange *scriptedExchange) {
					if number > 2*count {
						exchange.write(exchange.head("200 OK", eventStreamLines))
						exchange.events(3, 10*time.Millisecond)
						return
					}
					exchange.silent()
				})
				defer replicas.close()
				s.leaveAll(count, "/resume/", leaveAfter)
				time.Sleep(500 * time.Millisecond)
				s.Expect(replicas.count()).To(gomega.BeNumerically(">", count), "successors")
				s.Expect(replicas.unfinished()).To(gomega.BeZero())
				time.Sleep(10 * time.Second)
				offset := s.logs.size()
				s.do("n1", http.MethodPost, "/resume/", nil)
				placed := s.loggedEventsFrom(offset, "request.placed")
				s.Expect(placed[len(placed)-1].FreeSlots).To(gomega.BeNumerically(">=", 15))
			})
		})
	}
}

// Guards against the slot of a successor that stays occupied because the caller leaves at the moment in which the
// successor answers.
func TestCallerLeavingAsTheSuccessorAnswersFreesItsSlot(t *testing.T) {
	const answersAfter = 2 * time.Second
	for _, leaveAfter := range []time.Duration{answersAfter - 100*time.Millisecond, answersAfter, answersAfter + 100*time.Millisecond} {
		runScenario(t, func(s *scenario) {
			s.setAttempts(2)
			const rounds, count = 30, 4
			replicas := s.replaceReplicas("engines", 2, func(_ int, exchange *scriptedExchange) {
				started := exchange.from.Truncate(time.Second)
				if exchange.from.Sub(started) < 500*time.Millisecond { // not a successor
					exchange.silent()
					return
				}
				if exchange.sleep(time.Until(started.Add(answersAfter - time.Second))) {
					exchange.write(exchange.head("200 OK", eventStreamLines))
					exchange.silent()
				}
			})
			defer replicas.close()
			for range rounds {
				time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
				s.leaveAll(count, "/resume/", leaveAfter)
				time.Sleep(500 * time.Millisecond)
			}
			time.Sleep(15 * time.Second)
			occupied := 0
			for _, count := range s.deployment.Node(s.scheduler()).Status().Services["engines"].InFlight {
				occupied += count
			}
			s.Expect(occupied).To(gomega.BeZero(), "occupied slots after callers that left after %v", leaveAfter)
		})
	}
}

// unfinished returns the number of exchanges that have not ended.
func (r *scriptedReplicas) unfinished() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, exchange := range r.exchanges {
		if exchange.to.IsZero() {
			count++
		}
	}
	return count
}

// leaveAll sends requests to all nodes in turn. Their callers leave after the time.
func (s *scenario) leaveAll(count int, path string, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	done := make(chan reply)
	for i := range count {
		go func() {
			done <- s.do(hosts[i%len(hosts)], http.MethodPost, path, func(request *http.Request) {
				*request = *request.WithContext(ctx)
				withDeadline(silentDeadline)(request)
			})
		}()
	}
	for range count {
		<-done
	}
}
