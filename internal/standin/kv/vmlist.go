package kv

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// serveVMs responds with the VM list, or with 304 if the caller's ETag is
// current.
func (s *Server) serveVMs(w http.ResponseWriter, r *http.Request) {
	if !s.beginCall(w, func(st *Stats) { st.VMLists++ }) {
		return
	}
	body, err := json.Marshal(s.listVMs())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// listVMs returns the VMs sorted by ID.
func (s *Server) listVMs() []kvstore.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := make([]kvstore.VM, 0, len(s.vms))
	for _, vm := range s.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b kvstore.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}
