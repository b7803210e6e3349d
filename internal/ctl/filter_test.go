package ctl

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

var _ = Describe("timeline filters", func() {
	tl := opapi.Timeline{
		Upstreams: map[string]string{"agent-1": "u1", "agent-2": "u2"},
		Events: []timeline.Event{
			{Process: "e", Kind: timeline.Dispatched, Object: "u1", Request: "r1", Attempt: 1},
			{Process: "agent-1", Kind: timeline.AttemptStarted, Request: "r1", Attempt: 1},
			{Process: "e", Kind: timeline.Dispatched, Object: "u2", Request: "r1", Attempt: 2},
			{Process: "agent-2", Kind: timeline.AttemptStarted, Request: "r1", Attempt: 2},
			{Process: "agent-2", Kind: timeline.ConfigApplied, Revision: 7},
			{Process: "e", Kind: timeline.Admitted, Request: "r2"},
		},
	}
	count := func(f eventFilter) int { return len(f.apply(tl)) }

	It("select by request, upstream and group, and combine the fields that are set", func() {
		Expect(count(eventFilter{})).To(Equal(6))
		Expect(count(eventFilter{request: "r1"})).To(Equal(4))
		Expect(count(eventFilter{upstream: "u2"})).To(Equal(3))
		Expect(count(eventFilter{group: "g", members: map[string]bool{"u1": true, "u2": true}})).To(Equal(5))
		Expect(count(eventFilter{request: "r2", upstream: "u1"})).To(BeZero())
	})
})

var _ = Describe("the record in a file", func() {
	It("is separated from its base revision", func() {
		d, err := parseDocument([]byte("schemaVersion: 2\nkind: plain-service\nname: s\nrevision: 12\nspec: {}\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.baseRevision).To(Equal(int64(12)))
		Expect(string(d.json)).NotTo(ContainSubstring("revision"))
	})

	It("is compared by its fields, whatever its schema version", func() {
		schema1Document, err := parseDocument([]byte("version: 1\ntype: placement\nid: g\nprofile: tocka\n"))
		Expect(err).NotTo(HaveOccurred())
		stored := &config.ExpertPlan{Name: "g", Preset: "teranga", BudgetBytes: 5}
		storedRecord, err := encode(stored, 2)
		Expect(err).NotTo(HaveOccurred())
		after, err := schema1Document.mergeInto(storedRecord)
		Expect(err).NotTo(HaveOccurred())
		Expect(compare(stored, after)).To(Equal([]change{{Field: "preset", From: `"teranga"`, To: `"tocka"`}}))
	})
})
