"""The path of one caller's request: route, admission, choice, dispatch, answer."""
