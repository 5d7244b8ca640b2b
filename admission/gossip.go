package admission

import "encoding/binary"

// A message of gossip is a sequence of entries of three bytes: the gossip ID of an engine, little-endian, and its load
// in parts of gossipLoadScale, or gossipFailure for a failed health check.
const (
	gossipEntrySize = 3
	gossipLoadScale = 160
	gossipFailure   = 255
)

// Bytes of gossip that a request earns, over all receivers, and that may be saved up.
const (
	gossipBytesPerRequest = 160.0
	maxGossipCredit       = 64 * gossipBytesPerRequest
)

// gossipState is what is to be sent to other front ends.
type gossipState struct {
	credit  float64 // bytes that requests have earned
	message []byte  // entries for the results of the last burst of health checks
}

func (g *gossipState) addLoad(gossipID uint16, load float64) {
	g.add(gossipID, byte(min(max(load*gossipLoadScale, 0), gossipFailure-1)))
}

func (g *gossipState) addFailure(gossipID uint16) { g.add(gossipID, gossipFailure) }

func (g *gossipState) add(gossipID uint16, value byte) {
	g.message = append(binary.LittleEndian.AppendUint16(g.message, gossipID), value)
}

// sendGossip sends what is collected to all other front ends if requests have earned it, and drops it otherwise.
func (c *Controller) sendGossip() {
	message := c.gossip.message
	c.gossip.message = nil
	cost := float64(len(message) * (c.settings.Replicas - 1))
	if c.settings.GossipAllowed && cost > 0 && c.gossip.credit >= cost {
		c.gossip.credit -= cost
		c.emit(SendGossip{To: -1, Data: message})
	}
}

// handleGossip takes in what another front end says of engines. Entries that name no engine in use are passed over, as
// is the rest of a message that is shorter than an entry.
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
