package plugs

import (
	_ "rhubarbspread/core/route/finish" // routing policy
	_ "rhubarbspread/core/route/least"  // routing policy
	_ "rhubarbspread/core/route/random" // routing policy
	_ "rhubarbspread/core/route/robin"  // routing policy
)
