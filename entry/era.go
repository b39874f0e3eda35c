package entry

import (
	"time"

	"github.com/guavagauge/guavagauge/store"
)

// eraCheckInterval is the time between checks for answers of the store with an invalid
// era.
const eraCheckInterval = time.Second

// followEras logs when the store comes back from an older copy. The lease of the leader
// ends by itself then; see package lease.
func (n *Node) followEras() {
	n.Metrics.NewGauge("guavagauge_entry_store_era", func() float64 { return float64(store.CurrentEra(n.store).Era) })
	n.Metrics.NewGauge("guavagauge_entry_store_era_invalid_answers", func() float64 { return float64(store.CurrentEra(n.store).Invalid) })
	n.guard.Loop(n.ctx, "follow eras of the store", func() {
		invalidLogged := false
		for n.ctx.Err() == nil {
			view := store.CurrentEra(n.store)
			if view.Invalid > 0 && !invalidLogged {
				invalidLogged = true
				n.logger.Warn("answers of the store with an invalid era aren't used", "Era", view.Era, "Answers", view.Invalid)
			}
			select {
			case <-view.Ended:
				n.erasEnded.Add(1)
				n.count("store_eras", "Began")
				n.logger.Warn("store came back from an older copy", "Before", view.Era, "Era", store.CurrentEra(n.store).Era, "Dropped", "leader lease")
			case <-time.After(eraCheckInterval):
			case <-n.ctx.Done():
			}
		}
	})
}
