package node

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/wire"
)

// viewStore stores the configuration in use on the node's disk, so that the node does not
// use an older one after a restart.
type viewStore struct {
	disk commitlog.Disk

	mu sync.Mutex
	// again is set while a full disk is tried again, unsaved what is to be stored then.
	again   *time.Timer
	unsaved []byte
}

const (
	configurationFile = "configuration"
	// storeAgainAfter is the time between two attempts to store the configuration on a full disk.
	storeAgainAfter = time.Second
)

// Load implements controlclient.Store.
func (v *viewStore) Load() (catalog.Delta, bool) {
	queue, items, err := commitlog.OpenQueue(v.disk, configurationFile)
	if err != nil || len(items) == 0 {
		return catalog.Delta{}, false
	}
	_ = queue.Close()
	full := catalog.Delta{}
	if err := wire.Decode(items[len(items)-1], &full); err != nil {
		return catalog.Delta{}, false
	}
	return full, true
}

// Save implements controlclient.Store.
func (v *viewStore) Save(full catalog.Delta) error {
	item, err := cbor.Marshal(full)
	if err != nil {
		return eris.Wrap(err, "node: encode the configuration")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unsaved = item
	return v.store()
}

// store stores what is unsaved, or tries again later if the disk is full. The caller holds mu.
func (v *viewStore) store() error {
	err := commitlog.ReplaceQueue(v.disk, configurationFile, v.unsaved)
	if commitlog.IsFull(err) && v.again == nil {
		v.again = time.AfterFunc(storeAgainAfter, v.storeAgain)
	}
	return err
}

func (v *viewStore) storeAgain() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.again = nil
	// The first failure was reported to the caller of Save.
	_ = v.store()
}
