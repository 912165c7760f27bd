package measure

// Subject is a measurement that can be run by itself.
type Subject struct {
	Name string
	Run  func() ([]Group, error)
}

// Subjects lists all measurements.
func Subjects() []Subject {
	return []Subject{
		{
			Name: "control",
			Run:  Control,
		},
		{
			Name: "recovery",
			Run:  single(Recovery),
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
			Name: "floods",
			Run:  single(Floods),
		},
		{
			Name: "storm",
			Run:  single(Storm),
		},
		{
			Name: "placement",
			Run:  single(Prefixes),
		},
		{
			Name: "overhead",
			Run:  single(Overhead),
		},
	}
}

func single(run func() (Group, error)) func() ([]Group, error) {
	return func() ([]Group, error) {
		g, err := run()
		return []Group{g}, err
	}
}
