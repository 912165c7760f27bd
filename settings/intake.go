package settings

// Intake bounds what clients can make the process hold. Fields that are 0 have a default, those of
// Bytes and Connections depend on the memory of the process.
type Intake struct {
	// Bytes bounds what the heads and bodies of all requests and their responses take together.
	Bytes int64 `json:"bytes,omitempty"`
	// Connections bounds the open connections of callers.
	Connections int64 `json:"connections,omitempty"`
	// BytesPerSecond is the least progress of a client that sends a request or reads a response, and
	// GraceMillis how long it may be behind.
	BytesPerSecond int64 `json:"bytesPerSecond,omitempty"`
	GraceMillis    int64 `json:"graceMillis,omitempty"`
}

const (
	// intakeShare is the part of the memory, as a divisor, that is the default of Intake.Bytes.
	intakeShare = 5
	// callersPerMegabyte derives the default of Intake.Connections. A connection takes up to 40 KiB
	// while it sends a head. maxCallers leaves descriptors for other connections.
	callersPerMegabyte = 6
	maxCallers         = 2000
	// The defaults of a process whose memory is not set.
	defaultIntakeBytes       = 256 << 20
	defaultIntakeConnections = 8192
	// defaultBytesPerSecond is far below any link that callers use.
	defaultBytesPerSecond = 1 << 10
	defaultGraceMillis    = 5000
)

// fillDefaults sets what is not set, for a process of the given memory, 0 if that is not known.
func (i *Intake) fillDefaults(megabytes int64) {
	if megabytes > 0 {
		setDefault(&i.Bytes, megabytes<<20/intakeShare)
		setDefault(&i.Connections, min(megabytes*callersPerMegabyte, maxCallers))
	}
	setDefault(&i.Bytes, defaultIntakeBytes)
	setDefault(&i.Connections, defaultIntakeConnections)
	setDefault(&i.BytesPerSecond, defaultBytesPerSecond)
	setDefault(&i.GraceMillis, defaultGraceMillis)
}

func (c *checker) intake(i Intake) {
	c.inRange("/intake/bytes", i.Bytes, 1<<20, 64<<30)
	c.inRange("/intake/connections", i.Connections, 16, 1_000_000)
	c.inRange("/intake/bytesPerSecond", i.BytesPerSecond, 16, 1<<20)
	c.inRange("/intake/graceMillis", i.GraceMillis, 1000, 60_000)
}
