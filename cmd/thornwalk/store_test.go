package main

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
)

// Guards against operators not seeing that the store was restored from a backup.
func TestStoreRowsShowEraAndRestore(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := storeRows(&entry.Status{Name: "n1", Era: 3, Revision: 70, Restored: 1200})
	g.Expect(rows).To(gomega.ContainElements([]string{"era", "3"}, []string{"revision", "70"}))
	g.Expect(rows[3][1]).To(gomega.HavePrefix("1200 ms ago"))
	g.Expect(storeRows(&entry.Status{})[3][1]).To(gomega.Equal("no"))
}
