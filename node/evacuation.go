package node

import (
	"context"

	"github.com/waxwingreel/waxwingreel/evacuation"
)

// evacuationStore implements platform.EvacuationStore with the control group.
type evacuationStore struct {
	node *Node
}

// Evacuate implements platform.EvacuationStore.
func (e evacuationStore) Evacuate(ctx context.Context, order evacuation.Order) error {
	_, err := e.node.controlClient.Evacuate(ctx, order)
	return err
}
