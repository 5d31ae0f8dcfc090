package incarnations

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against signs that count for too long or for other services, and against a late one that hides a later one.
func TestChurnEndsAfterItsLatestSign(t *testing.T) {
	g := gomega.NewWithT(t)
	const listedUntil = 10 * time.Second
	churn := NewChurn()
	g.Expect(churn.IsChurning(time.Second, listedUntil, "engines")).To(gomega.BeFalse())
	churn.Observe(10*time.Second, "engines")
	churn.Observe(8*time.Second, "engines")
	g.Expect(churn.OwnAges(11*time.Second, listedUntil)).To(gomega.Equal(map[string]time.Duration{"engines": time.Second}))
	g.Expect(churn.IsChurning(10*time.Second+churnTime-1, listedUntil, "engines")).To(gomega.BeTrue())
	g.Expect(churn.IsChurning(10*time.Second, listedUntil, "others")).To(gomega.BeFalse())
	end := 10*time.Second + churnTime
	g.Expect(churn.IsChurning(end, listedUntil-1, "engines")).To(gomega.BeTrue(), "the store may not list the replacements")
	g.Expect(churn.IsChurning(end, listedUntil, "engines")).To(gomega.BeFalse())
	g.Expect(churn.OwnAges(end, listedUntil)).To(gomega.BeNil())
	g.Expect(churn.latest).To(gomega.BeEmpty())
	churn.ObserveReported(end, "engines")
	g.Expect(churn.IsChurning(end, listedUntil, "engines")).To(gomega.BeTrue())
	g.Expect(churn.Services(end, listedUntil)).To(gomega.Equal(1))
	g.Expect(churn.OwnAges(end, listedUntil)).To(gomega.BeNil(), "a peer observed it")
}
