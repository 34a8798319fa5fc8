"""The routing pipe: from the operator's document to the routes in force."""
