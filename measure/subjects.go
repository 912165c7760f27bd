package measure

// Subject is a set of measurements that can be run on its own.
type Subject struct {
	Name string
	Run  func() ([]Group, error)
}

// Subjects returns all subjects.
func Subjects() []Subject {
	return []Subject{
		{
			Name: "control",
			Run:  Control,
		},
		{
			Name: "recovery",
			Run:  singleGroup(Recovery),
		},
		{
			Name: "leases",
			Run: func() ([]Group, error) {
				return []Group{Leases()}, nil
			},
		},
		{
			Name: "capacity",
			Run:  Capacity,
		},
		{
			Name: "restarts",
			Run:  singleGroup(Restarts),
		},
		{
			Name: "floods",
			Run:  singleGroup(Floods),
		},
		{
			Name: "storm",
			Run:  singleGroup(Storm),
		},
		{
			Name: "placement",
			Run:  singleGroup(Prefixes),
		},
		{
			Name: "overhead",
			Run:  singleGroup(Overhead),
		},
	}
}

func singleGroup(run func() (Group, error)) func() ([]Group, error) {
	return func() ([]Group, error) {
		g, err := run()
		return []Group{g}, err
	}
}
