package consensus

// incomingSnapshot is a snapshot that has been received in part.
type incomingSnapshot struct {
	from     ReplicaID
	snapshot Snapshot
}

func (c *Core) startSnapshotTransfer(id ReplicaID, p *progress) {
	p.pendingSnapshot = c.log.snapshot.Index
	p.offset = 0
	p.lastProgress = c.now
	c.sendSnapshotChunk(id, p)
}

func (c *Core) sendSnapshotChunk(id ReplicaID, p *progress) {
	snapshot := c.log.snapshot
	if snapshot.Index != p.pendingSnapshot {
		p.pendingSnapshot = snapshot.Index
		p.offset = 0
	}
	end := min(p.offset+snapshotChunkBytes, len(snapshot.Data))
	c.sendBeforeSync(Message{
		Kind:       MessageSnapshot,
		To:         id,
		Index:      snapshot.Index,
		LogTerm:    snapshot.Term,
		Membership: &snapshot.Membership,
		Chunk:      snapshot.Data[p.offset:end],
		Offset:     p.offset,
		Total:      len(snapshot.Data),
		Commit:     c.commit,
		Isolated:   c.isolated(),
		Round:      c.nextRound(),
	})
}

func (c *Core) onSnapshot(m Message) {
	c.recordLeaderContact(m)
	if m.Index <= c.commit {
		c.respondSnapshot(m, m.Total)
		c.respondAppend(m, c.commit, false)
		return
	}
	if c.log.contains(m.Index, m.LogTerm) {
		// The log already contains the snapshot's last entry. The entries
		// after it must not be dropped, since the leader may have counted
		// them as acknowledged.
		c.incoming = nil
		c.commit = m.Index
		c.respondAppend(m, m.Index, false)
		return
	}
	in := c.incoming
	restart := in == nil || in.from != m.From || in.snapshot.Index != m.Index || in.snapshot.Term != m.LogTerm
	if restart {
		in = &incomingSnapshot{
			from: m.From,
			snapshot: Snapshot{
				Index:      m.Index,
				Term:       m.LogTerm,
				Membership: *m.Membership,
			},
		}
		c.incoming = in
	}
	if m.Offset == len(in.snapshot.Data) {
		in.snapshot.Data = append(in.snapshot.Data, m.Chunk...)
	}
	if len(in.snapshot.Data) == m.Total {
		c.installSnapshot(in.snapshot)
		c.respondAppend(m, m.Index, false)
		return
	}
	c.respondSnapshot(m, len(in.snapshot.Data))
}

func (c *Core) respondSnapshot(m Message, offset int) {
	c.sendAfterSync(Message{
		Kind:   MessageSnapshotResponse,
		To:     m.From,
		Index:  m.Index,
		Offset: offset,
		Round:  m.Round,
	})
}

func (c *Core) installSnapshot(snapshot Snapshot) {
	c.incoming = nil
	c.log = entryLog{snapshot: snapshot}
	c.commit = snapshot.Index
	c.applied = snapshot.Index
	c.firstUnsaved = snapshot.Index + 1
	c.persisted = snapshot.Index
	c.installedSnapshot = &snapshot
	c.refreshMembers()
}

func (c *Core) onSnapshotResponse(m Message) {
	if c.role != RoleLeader || m.Term != c.hardState.Term {
		return
	}
	p := c.recordContact(m)
	if p == nil || p.pendingSnapshot != m.Index || m.Offset == p.offset && m.Offset != 0 {
		return
	}
	if m.Offset >= len(c.log.snapshot.Data) {
		return
	}
	p.offset = m.Offset
	p.lastProgress = c.now
	c.sendSnapshotChunk(m.From, p)
}
