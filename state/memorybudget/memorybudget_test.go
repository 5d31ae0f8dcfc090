package memorybudget

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against an eviction of an account that holds little while another one holds much.
func TestLargestAccountIsEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(100)
	var evicted []string
	open := func(name string) *Account { return budget.Open(func() { evicted = append(evicted, name) }) }
	small, large, last := open("small"), open("large"), open("last")
	g.Expect(small.Reserve(20)).To(gomega.Succeed())
	g.Expect(large.Reserve(70)).To(gomega.Succeed())
	g.Expect(last.Reserve(30)).To(gomega.Succeed())
	g.Expect(evicted).To(gomega.Equal([]string{"large"}))
	g.Expect(large.Reserve(1)).To(gomega.MatchError(ErrEvicted))
	g.Expect(last.Reserve(60)).To(gomega.MatchError(ErrEvicted))
	g.Expect(evicted).To(gomega.Equal([]string{"large", "last"}))
	held, most := budget.Held()
	g.Expect(held).To(gomega.Equal(int64(20)))
	g.Expect(most).To(gomega.BeNumerically("<=", 100))
	g.Expect(budget.Evicted()).To(gomega.Equal(int64(2)))
	large.Close()
	small.Close()
	held, _ = budget.Held()
	g.Expect(held).To(gomega.BeZero())
}

// Guards against bytes that stay reserved after their holders have ended, a budget that is exceeded, and evictions of
// accounts that are closed.
func TestBudgetHoldsUnderConcurrentHolders(t *testing.T) {
	const limit, holders, steps = 1000, 40, 200
	g := gomega.NewWithT(t)
	budget := New(limit)
	var group sync.WaitGroup
	var lateEvictions, over atomic.Int64
	for seed := range holders {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(seed), 1))
			for range steps {
				var isClosed atomic.Bool
				account := budget.Open(func() {
					if isClosed.Load() {
						lateEvictions.Add(1)
					}
				})
				for range random.IntN(8) {
					if bytes := random.Int64N(limit / 4); account.Reserve(bytes) == nil && random.IntN(2) == 0 {
						account.Release(bytes)
					}
					if held, _ := budget.Held(); held > limit {
						over.Add(1)
					}
				}
				account.Close()
				isClosed.Store(true)
			}
		})
	}
	group.Wait()
	held, most := budget.Held()
	g.Expect(held).To(gomega.BeZero())
	g.Expect(most).To(gomega.BeNumerically("<=", limit))
	g.Expect(over.Load()).To(gomega.BeZero())
	g.Expect(lateEvictions.Load()).To(gomega.BeZero())
	g.Expect(budget.accounts).To(gomega.BeEmpty())
	g.Expect(budget.Evicted()).To(gomega.BeNumerically(">", 0))
}

// Guards against an eviction that interrupts what follows on the connection of an account that was closed meanwhile.
func TestClosedAccountIsNotInterrupted(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(100)
	isInterrupted := false
	second := budget.Open(func() { isInterrupted = true })
	first := budget.Open(second.Close) // evicted before the second one, as it holds more
	g.Expect(first.Reserve(60)).To(gomega.Succeed())
	g.Expect(second.Reserve(40)).To(gomega.Succeed())
	g.Expect(budget.Open(func() {}).Reserve(30)).To(gomega.Succeed())
	g.Expect(isInterrupted).To(gomega.BeFalse())
	g.Expect(second.IsEvicted()).To(gomega.BeFalse(), "the first was enough")

	isInterrupted = false
	budget = New(100)
	second = budget.Open(func() { isInterrupted = true })
	first = budget.Open(second.Close)
	g.Expect(first.Reserve(50)).To(gomega.Succeed())
	g.Expect(second.Reserve(40)).To(gomega.Succeed())
	budget.SetLimit(10)
	g.Expect(budget.Open(func() {}).Reserve(5)).To(gomega.Succeed())
	g.Expect(second.IsEvicted()).To(gomega.BeTrue())
	g.Expect(isInterrupted).To(gomega.BeFalse(), "it was closed before its turn")
}
