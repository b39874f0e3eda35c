package entry

import (
	"context"

	"github.com/guavagauge/guavagauge/lease"
)

// orders gives the capacity orders of one holder.
type orders struct {
	node *Node
}

func newOrders(n *Node) (o *orders) { return &orders{node: n} }

// give orders capacity where the desired number has changed.
func (o *orders) give(held *lease.Held) (err error) {
	_ = context.Cause(held.Context())
	return nil
}
