package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/admission"
)

// Guards against messages that change where replicas report no work time, or that lose it where they do.
func TestWorkTimeIsSentOnlyIfReported(t *testing.T) {
	g := gomega.NewWithT(t)
	fields := func(message any) map[string]any {
		content, err := msgpack.Marshal(message)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		decoded := map[string]any{}
		g.Expect(msgpack.Unmarshal(content, &decoded)).To(gomega.Succeed())
		return decoded
	}
	g.Expect(fields(&firstEventRequest{ID: "a", Load: 3})).To(gomega.And(gomega.HaveLen(2), gomega.HaveKey("ID"), gomega.HaveKey("Load")))
	g.Expect(fields(&finishRequest{ID: "a"})["Seen"]).NotTo(gomega.Or(gomega.HaveKey("WorkTime"), gomega.HaveKey("HeadDelay")))
	started := fields(&firstEventRequest{ID: "a", Load: 3, WorkTime: 250, SinceGrant: time.Second})
	g.Expect(started).To(gomega.And(gomega.HaveKeyWithValue("WorkTime", gomega.BeNumerically("==", 250)), gomega.HaveKeyWithValue("SinceGrant", gomega.BeNumerically("==", time.Second))))
	ended := fields(&finishRequest{ID: "a", Observation: admission.Observation{WorkTime: 250, HeadDelay: time.Second}})["Seen"]
	g.Expect(ended).To(gomega.And(gomega.HaveKeyWithValue("WorkTime", gomega.BeNumerically("==", 250)), gomega.HaveKeyWithValue("HeadDelay", gomega.BeNumerically("==", time.Second))))
}
