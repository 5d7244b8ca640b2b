package wire

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"beechcart/admission"
)

// writeAction writes one action of the gateway with the given id.
func (s *server) writeAction(id int, action admission.Action) {
	w := s.out
	switch a := action.(type) {
	case admission.Send:
		fmt.Fprintf(w, "transmit who=%d ticket=%s engine=%d", id, a.ID, a.Engine)
		if a.Timeout > 0 {
			fmt.Fprintf(w, " cap=%d", int64(a.Timeout))
		}
		w.WriteByte('\n')
	case admission.Terms:
		grant := strconv.FormatFloat(a.GrantMB, 'f', -1, 64)
		fmt.Fprintf(w, "terms who=%d ticket=%s lane=%d memory_grant=%s\n", id, a.ID, a.Priority, grant)
	case admission.Reject:
		fmt.Fprintf(w, "refuse who=%d ticket=%s pause=%d\n", id, a.ID, int64(a.RetryAfter))
	case admission.Fail:
		fmt.Fprintf(w, "finish_error who=%d ticket=%s\n", id, a.ID)
	case admission.Cancel:
		fmt.Fprintf(w, "recall who=%d ticket=%s go=%d\n", id, a.ID, a.Attempt)
	case admission.HealthCheck:
		fmt.Fprintf(w, "ping who=%d engine=%d\n", id, a.Engine)
	case admission.CloseIdle:
		fmt.Fprintf(w, "free_links who=%d engine=%d\n", id, a.Engine)
	case admission.SendGossip:
		s.writeGossip(id, a)
	case admission.SetTimer:
		fmt.Fprintf(w, "schedule who=%d delay=%d nonce=%d\n", id, int64(a.Delay), a.Token)
	case admission.WatchEndpoints:
		enable := 0
		if a.On {
			enable = 1
		}
		fmt.Fprintf(w, "watch who=%d enable=%d\n", id, enable)
	case admission.PollEndpoints:
		fmt.Fprintf(w, "get_list who=%d\n", id)
	case admission.Log:
		fmt.Fprintf(w, "note_down who=%d message=%s\n", id, oneLine(a.Text))
	}
}

// writeGossip writes a gossip message to one gateway, or to all others if a.To is negative.
func (s *server) writeGossip(id int, a admission.SendGossip) {
	to := "*"
	if a.To >= 0 {
		to = strconv.Itoa(a.To)
	}
	data := hex.EncodeToString(a.Data)
	if data == "" {
		data = noValue
	}
	fmt.Fprintf(s.out, "share who=%d to=%s data=%s\n", id, to, data)
}

// oneLine replaces line breaks with spaces, since a line break ends a message.
func oneLine(text string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(text) }
