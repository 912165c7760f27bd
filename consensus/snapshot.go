package consensus

// incomingSnapshot is a snapshot of which some chunks have come.
type incomingSnapshot struct {
	from     ReplicaID
	snapshot Snapshot
}

func (c *Core) startSnapshot(id ReplicaID, p *progress) {
	p.snapshot = c.log.snapshot.Index
	p.offset = 0
	p.moved = c.now
	c.sendChunk(id, p)
}

func (c *Core) sendChunk(id ReplicaID, p *progress) {
	snapshot := c.log.snapshot
	if snapshot.Index != p.snapshot {
		p.snapshot = snapshot.Index
		p.offset = 0
	}
	end := min(p.offset+snapshotChunkBytes, len(snapshot.Data))
	c.sendEarly(Message{
		Kind:       MessageSnapshot,
		To:         id,
		Index:      snapshot.Index,
		LogTerm:    snapshot.Term,
		Membership: &snapshot.Membership,
		Chunk:      snapshot.Data[p.offset:end],
		Offset:     p.offset,
		Total:      len(snapshot.Data),
		Round:      c.nextRound(),
	})
}

func (c *Core) onSnapshot(m Message) {
	c.heardLeader(m)
	if m.Index <= c.commit {
		c.answerSnapshot(m, m.Total)
		c.answerAppend(m, c.commit, false)
		return
	}
	if c.log.holds(m.Index, m.LogTerm) {
		// The log already agrees up to there. Entries behind it may be
		// counted on by the leader, so they must not be dropped.
		c.incoming = nil
		c.commit = m.Index
		c.answerAppend(m, m.Index, false)
		return
	}
	in := c.incoming
	fresh := in == nil || in.from != m.From || in.snapshot.Index != m.Index || in.snapshot.Term != m.LogTerm
	if fresh {
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
		c.install(in.snapshot)
		c.answerAppend(m, m.Index, false)
		return
	}
	c.answerSnapshot(m, len(in.snapshot.Data))
}

func (c *Core) answerSnapshot(m Message, offset int) {
	c.sendLate(Message{
		Kind:   MessageSnapshotResponse,
		To:     m.From,
		Index:  m.Index,
		Offset: offset,
		Round:  m.Round,
	})
}

func (c *Core) install(snapshot Snapshot) {
	c.incoming = nil
	c.log = entryLog{snapshot: snapshot}
	c.commit = snapshot.Index
	c.applied = snapshot.Index
	c.unsaved = snapshot.Index + 1
	c.persisted = snapshot.Index
	c.installed = &snapshot
	c.refreshMembers()
}

func (c *Core) onSnapshotAnswer(m Message) {
	if c.role != RoleLeader || m.Term != c.hard.Term {
		return
	}
	p := c.heardFrom(m)
	if p == nil || p.snapshot != m.Index || m.Offset == p.offset && m.Offset != 0 {
		return
	}
	if m.Offset >= len(c.log.snapshot.Data) {
		return
	}
	p.offset = m.Offset
	p.moved = c.now
	c.sendChunk(m.From, p)
}
