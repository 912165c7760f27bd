package command

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/node"
	"github.com/waxwingreel/waxwingreel/settings"
)

type settingsOption struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" required:"true" env:"WAXWINGREEL_NODE_FILE" description:"Settings file, JSON with comments"`
}

type serveCommand struct {
	settingsOption
	env *environment
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	signals := notifySignals()
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log := event.NewBounded(c.env.out, string(s.Node))
	defer log.Close()
	n, err := node.Start(node.Config{
		Settings: s,
		Log:      log,
		Version:  Version,
	})
	if err != nil {
		log.Error(event.NodeFailed).Err(err).Msg("node failed to start")
		return err
	}
	interrupts, failed := signals.awaitStop(n.Failed(), func() { reload(c.Settings, log, n) })
	if failed {
		time.Sleep(diskFailureDelay)
		log.Error(event.NodeFailed).Msg("disk failed; the node exits so that it is restarted")
		return eris.New("the node's disk failed")
	}
	ctx, cancel := signals.whileStopping(log, interrupts)
	defer cancel()
	n.Stop(ctx)
	return nil
}

// diskFailureDelay is how long a node whose disk failed waits before it exits to be
// restarted. In that time space may be freed on a full disk, or a slow disk recover.
const diskFailureDelay = time.Second

// reload reads the settings again. The node applies those that can change while it
// runs; the others take effect at the next start.
func reload(path string, log *event.Log, n *node.Node) {
	s, err := settings.Load(path)
	if err != nil {
		log.Error(event.NodeReloaded).Err(err).Msg("new settings are invalid; the old ones stay in force")
		return
	}
	n.Reload(s)
}

type checkCommand struct {
	settingsOption
	env *environment
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.env.out, "%s: node %s in data centre %s: settings are sound\n", c.Settings, s.Node, s.DataCentre)
	return err
}

// keyBytes is the number of random bytes in a new key.
const keyBytes = 24

type keyCommand struct {
	env *environment
}

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return eris.Wrap(err, "generate a key")
	}
	key := "wxr_" + base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(key))
	_, err := fmt.Fprintf(c.env.out, "key     %s\nsha256  %s\n", key, hex.EncodeToString(sum[:]))
	return err
}
