package admission

import "encoding/binary"

// A gossip message is a sequence of three-byte entries: the gossip ID of an engine as two bytes, little-endian, and one
// byte with its load in units of 1/gossipLoadScale, or gossipFailure for a failed health check.
const (
	gossipEntrySize = 3
	gossipLoadScale = 160
	gossipFailure   = 255
)

// The gossip credit, in bytes summed over all receivers: what each request earns, and the maximum that may accumulate.
const (
	gossipBytesPerRequest = 160.0
	maxGossipCredit       = 64 * gossipBytesPerRequest
)

// gossipState is the gossip waiting to be sent to the other front ends, and the credit for sending it.
type gossipState struct {
	credit  float64 // bytes earned by requests
	message []byte  // entries from the last burst of health checks
}

func (g *gossipState) addLoad(gossipID uint16, load float64) {
	g.add(gossipID, byte(min(max(load*gossipLoadScale, 0), gossipFailure-1)))
}

func (g *gossipState) addFailure(gossipID uint16) { g.add(gossipID, gossipFailure) }

func (g *gossipState) add(gossipID uint16, value byte) {
	g.message = append(binary.LittleEndian.AppendUint16(g.message, gossipID), value)
}

// sendGossip sends the collected message to all other front ends if the credit covers it, and drops it otherwise.
func (c *Controller) sendGossip() {
	message := c.gossip.message
	c.gossip.message = nil
	cost := float64(len(message) * (c.settings.Replicas - 1))
	if c.settings.GossipAllowed && cost > 0 && c.gossip.credit >= cost {
		c.gossip.credit -= cost
		c.emit(SendGossip{To: -1, Data: message})
	}
}

// handleGossip applies a gossip message of another front end. It ignores a message from this front end or from an
// unknown one, entries for engines that are unknown or unavailable, and an incomplete entry at the end.
func (c *Controller) handleGossip(event GossipReceived) {
	if event.From < 0 || event.From >= c.settings.Replicas || event.From == c.settings.Me {
		return
	}
	for entries := event.Data; len(entries) >= gossipEntrySize; entries = entries[gossipEntrySize:] {
		engine := c.enginesByGossipID[binary.LittleEndian.Uint16(entries)]
		if engine != nil && !engine.unavailable {
			c.applyGossip(engine, entries[2])
		}
	}
}

func (c *Controller) applyGossip(engine *engineState, value byte) {
	if value == gossipFailure {
		c.recordMissedCheck(engine)
		return
	}
	load := float64(value) / gossipLoadScale
	engine.loadReport = Report{InFlight: -1, Queued: -1, Utilization: load, MemoryUtilization: -1, DiskUtilization: -1}
	engine.reportedAt, engine.checkedAt = c.now, c.now
	c.markAlive(engine)
}
