package admission

const (
	tellBytes  = 160.0 // bytes for each own query at the most, over all receivers
	tellSize   = 3     // bytes of a word: two for the engine, one for load or failure
	tellScale  = 160   // parts in which a load is told
	tellFailed = 255
)

// told takes a peer's words of engines; what does not read, or names no engine, is passed over.
func (c *Controller) told(ev GossipReceived) {
	if ev.From < 0 || ev.From >= c.set.Replicas || ev.From == c.set.Me {
		return
	}
	for d := ev.Data; len(d) >= tellSize; d = d[tellSize:] {
		e := c.byHash[uint16(d[0])|uint16(d[1])<<8]
		switch word := float64(d[2]); {
		case e == nil || e.gone:
		case word == tellFailed:
			c.miss(e, false)
		default:
			e.rep = Report{Held: -1, Queue: -1, Util: word / tellScale, Memory: -1, Disks: -1}
			e.repAt, e.heard = c.now, c.now
			c.alive(e)
		}
	}
}
