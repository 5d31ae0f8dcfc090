package entry

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/dissemination"
	"github.com/thornwalk/thornwalk/state/catalog"
)

// routesForSeveralReplies is a number of routes that does not fit into one reply.
const routesForSeveralReplies = 5600

// largeDocument returns a configuration that takes several replies.
func largeDocument() *catalog.Document {
	document := &catalog.Document{Version: 7, Services: []catalog.Service{{Name: "s"}}}
	for i := range routesForSeveralReplies {
		document.Routes = append(document.Routes, catalog.Route{
			Name: fmt.Sprintf("tenant-%08x-export", uint32(i)*2654435761), Host: fmt.Sprintf("api-%08x.example", uint32(i)*2246822519), PathPrefix: fmt.Sprintf("/%d/", i),
			Kind: catalog.KindSafe, Backends: []catalog.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 1,
		})
	}
	return document
}

// Guards against a panic or missing parts when a node reads a version from the store while it
// fetches the same version from a peer.
func TestVersionReadFromStoreDuringFetchCanBeServed(t *testing.T) {
	g := gomega.NewWithT(t)
	peer := dissemination.NewPartStore()
	g.Expect(peer.Publish(largeDocument())).To(gomega.Succeed())
	n := newFreshnessNode(0)
	reply, complete := peer.Respond(&dissemination.Request{}, maxReplyPartsBytes)
	g.Expect(complete).To(gomega.BeFalse(), "the version takes several replies")
	document, _, err := n.parts.Merge(reply)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(document).To(gomega.BeNil())
	n.applyCatalog(largeDocument(), "store")
	g.Expect(n.version()).To(gomega.Equal(int64(7)))
	g.Expect(func() {
		requester := dissemination.NewPartStore()
		for requester.Version() == 0 {
			parts, err := n.serveParts(context.Background(), &dissemination.Request{Version: requester.Version(), HeldParts: requester.HeldParts()})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			merged, progress, err := requester.Merge(&parts.Reply)
			parts.Sent()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(progress).To(gomega.BeTrue())
			if merged != nil {
				requester.Activate(merged.Version)
			}
		}
	}).NotTo(gomega.Panic())
}
