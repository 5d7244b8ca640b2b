package admission

import (
	"time"
)

type tenant struct {
	lists    [][2][]*request // by class; [1] holds over-share and late requests
	deficit  float64
	weight   float64
	running  float64 // threads of its attempts that are out
	mem      float64
	smallMem float64 // ... that of small classes
	tokens   float64 // of its share
	rate     float64 // own arrivals a second, smoothed
	ratedAt  time.Duration
	filled   time.Duration
}

func (t *tenant) idle() bool {
	for i := range t.lists {
		if len(t.lists[i][0])+len(t.lists[i][1]) > 0 {
			return false
		}
	}
	return true
}
